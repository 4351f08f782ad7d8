package router

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal is an error that is reported to the caller, with its HTTP status and outcome.
type Refusal struct {
	Status  int
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is the delay after which the caller may retry; zero if none is stated.
	RetryAfter time.Duration
}

// Error returns the code and the message, separated by a colon.
func (ref *Refusal) Error() string {
	return ref.Code + ": " + ref.Message
}

// Refuse returns a Refusal with the outcome NotRun.
func Refuse(status int, code, format string, args ...any) *Refusal {
	return &Refusal{
		Status:  status,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Outcome: NotRun,
	}
}

// RefuseUnknown returns a Refusal with the status 502 and the outcome Unknown.
func RefuseUnknown(code, format string, args ...any) *Refusal {
	ref := Refuse(http.StatusBadGateway, code, format, args...)
	ref.Outcome = Unknown
	return ref
}

// SetUnknown states that an upstream may have run the request. A status that implies the contrary becomes 502.
func (ref *Refusal) SetUnknown() {
	ref.Outcome = Unknown
	if ImpliesNotRun(ref.Status) {
		ref.Status, ref.RetryAfter = http.StatusBadGateway, 0
	}
}

// ImpliesNotRun reports whether callers take a status to mean that the request was not executed and will not be.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Values of Refusal.Code, as callers receive them.
const (
	CodeInvalid       = "invalid_request"
	CodeKey           = "invalid_api_key"
	CodeClass         = "unknown_class"
	CodeModel         = "model_not_found"
	CodePool          = "pool_not_found"
	CodeOperation     = "operation_not_found"
	CodeTooLarge      = "request_too_large"
	CodeRate          = "rate_limited"
	CodeShed          = "queue_full"
	CodeDeadline      = "deadline_exceeded"
	CodeNotReady      = "node_not_ready"
	CodeUpstream      = "upstream_failed"
	CodeNoUpstream    = "no_upstream"
	CodeQuarantined   = "request_quarantined"
	CodeOrderKey      = "idempotency_key_required"
	CodeOrderMismatch = "idempotency_key_reused"
	CodeOrderBusy     = "order_in_progress"
	CodeOrderUnknown  = "order_outcome_unknown"
	CodeTable         = "table_unavailable"
	CodeRoute         = "route_not_found"
	CodeMemory        = "memory_short"
)
