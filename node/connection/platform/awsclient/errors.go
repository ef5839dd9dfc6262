package awsclient

import (
	"errors"
	"fmt"
	"net/http"

	dynamotypes "github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// throttlingCodes are error codes of rejected requests, which had no effect even if the status is 5xx.
var throttlingCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"Throttling":                             true,
	"SlowDown":                               true,
}

var invalidCodes = map[string]bool{
	"ValidationException":                      true,
	"ItemCollectionSizeLimitExceededException": true,
	"EntityTooLarge":                           true,
}

var missingCodes = map[string]bool{"NoSuchKey": true, "NotFound": true}

// wrap returns an error of the given kind with the text of its cause. The type of the cause is not exposed.
func wrap(kind, cause error) error { return fmt.Errorf("%w: %v", kind, cause) }

// readError converts an error of a read to one of the platform package.
func readError(err error) error {
	var api smithy.APIError
	if errors.As(err, &api) {
		switch {
		case missingCodes[api.ErrorCode()]:
			return wrap(platform.ErrNotFound, err)
		case invalidCodes[api.ErrorCode()]:
			return wrap(platform.ErrInvalid, err)
		}
	}
	return wrap(platform.ErrUnavailable, err)
}

// writeError converts an error of a write to one of the platform package. sent reports whether the request got a connection.
func writeError(err error, sent bool) error {
	if !sent {
		return wrap(platform.ErrUnavailable, err)
	}
	var cancelled *dynamotypes.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellationError(cancelled)
	}
	var api smithy.APIError
	var response *smithyhttp.ResponseError
	if !errors.As(err, &api) || !errors.As(err, &response) {
		return wrap(platform.ErrOutcomeUnknown, err)
	}
	code := api.ErrorCode()
	switch {
	case throttlingCodes[code]:
		return wrap(platform.ErrUnavailable, err)
	case invalidCodes[code]:
		return wrap(platform.ErrInvalid, err)
	case code == "TransactionInProgressException":
		return wrap(platform.ErrOutcomeUnknown, err)
	}
	// A 4xx status rejects the request. With any other status, the write may have taken effect.
	if status := response.HTTPStatusCode(); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return wrap(platform.ErrUnavailable, err)
	}
	return wrap(platform.ErrOutcomeUnknown, err)
}

// cancellationError converts the reasons of a cancelled transaction to one error. A cancelled transaction wrote nothing.
func cancellationError(cancelled *dynamotypes.TransactionCanceledException) error {
	kind := platform.ErrUnavailable
	for _, reason := range cancelled.CancellationReasons {
		code := ""
		if reason.Code != nil {
			code = *reason.Code
		}
		switch code {
		case "ConditionalCheckFailed":
			return wrap(platform.ErrCondition, cancelled)
		case "ValidationError", "ItemCollectionSizeLimitExceeded":
			kind = platform.ErrInvalid
		case "TransactionConflict":
			if kind == platform.ErrUnavailable {
				kind = platform.ErrConflict
			}
		}
	}
	return wrap(kind, cancelled)
}
