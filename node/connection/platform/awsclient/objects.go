package awsclient

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	if err := platform.ValidateObjectKey(key); err != nil {
		return err
	}
	traced, sent := withSendTrace(ctx)
	_, err := c.objects.PutObject(traced, &s3.PutObjectInput{
		Bucket: &c.config.Bucket, Key: &key, Body: bytes.NewReader(body),
	})
	if err != nil {
		return writeError(err, sent.Load())
	}
	return nil
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := platform.ValidateObjectKey(key); err != nil {
		return nil, err
	}
	output, err := c.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &c.config.Bucket, Key: &key})
	if err != nil {
		return nil, readError(err)
	}
	defer output.Body.Close()
	limit := int64(c.config.MaxObjectBytes)
	body, err := io.ReadAll(io.LimitReader(output.Body, limit+1))
	if err != nil {
		return nil, wrap(platform.ErrUnavailable, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: object %q has more than %d bytes", platform.ErrUnavailable, key, limit)
	}
	return body, nil
}
