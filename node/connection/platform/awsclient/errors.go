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

// Error codes by which the services refuse a request without effect although the status may be 5xx.
var refusedCodes = map[string]bool{
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

// wrap joins an error of this package's interface with the text of the one below, whose type stays hidden.
func wrap(kind, cause error) error { return fmt.Errorf("%w: %v", kind, cause) }

// readError turns an error of a read into one of the platform package.
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

// writeError turns an error of a write into one of the platform package; sent says whether the request got a connection.
func writeError(err error, sent bool) error {
	if !sent {
		return wrap(platform.ErrUnavailable, err)
	}
	var cancelled *dynamotypes.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancellation(cancelled)
	}
	var api smithy.APIError
	var response *smithyhttp.ResponseError
	if !errors.As(err, &api) || !errors.As(err, &response) {
		return wrap(platform.ErrOutcomeUnknown, err)
	}
	code := api.ErrorCode()
	switch {
	case refusedCodes[code]:
		return wrap(platform.ErrUnavailable, err)
	case invalidCodes[code]:
		return wrap(platform.ErrInvalid, err)
	case code == "TransactionInProgressException":
		return wrap(platform.ErrOutcomeUnknown, err)
	}
	// A 4xx status refuses the request. After any other status the write may have taken effect.
	if status := response.HTTPStatusCode(); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return wrap(platform.ErrUnavailable, err)
	}
	return wrap(platform.ErrOutcomeUnknown, err)
}

// cancellation turns the reasons of a cancelled transaction into one error. Nothing was written in any case.
func cancellation(cancelled *dynamotypes.TransactionCanceledException) error {
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
