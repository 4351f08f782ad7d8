package bucket

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Objects is a router.Objects in an S3 bucket.
type Objects struct {
	client  *s3.Client
	bucket  string
	timeout time.Duration
}

// New returns a store; credentials come from the given provider.
func New(set conf.Objects, crd aws.CredentialsProvider) *Objects {
	opt := s3.Options{
		Region:       set.Region,
		BaseEndpoint: aws.String(set.Endpoint),
		Credentials:  crd,
		UsePathStyle: true,

		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	return &Objects{client: s3.New(opt), bucket: set.Bucket, timeout: set.Timeout}
}

// Store writes an object, or returns router.ErrUnavailable.
func (obj *Objects) Store(ctx context.Context, key string, val []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, obj.timeout)
	defer cancel()
	_, err = obj.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &obj.bucket,
		Key:    &key,
		Body:   bytes.NewReader(val),
	})
	if err != nil {
		return errors.Join(router.ErrUnavailable, err)
	}
	return nil
}

// Load returns an object, router.ErrMissing or router.ErrUnavailable.
func (obj *Objects) Load(ctx context.Context, key string) (val []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, obj.timeout)
	defer cancel()
	out, err := obj.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &obj.bucket, Key: &key})
	var mis *types.NoSuchKey
	if errors.As(err, &mis) {
		return nil, router.ErrMissing
	}
	if err != nil {
		return nil, errors.Join(router.ErrUnavailable, err)
	}
	defer out.Body.Close()
	val, err = io.ReadAll(out.Body)
	if err != nil {
		return nil, errors.Join(router.ErrUnavailable, err)
	}
	return val, nil
}
