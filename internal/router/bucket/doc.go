// Package bucket implements router.Objects by the S3 API.
package bucket
