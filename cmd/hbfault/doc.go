// Command hbfault tests an example deployment by fault injection (package chaos). It first runs some
// schedules with the protection of orders disabled, which must break a guarantee: this shows that the
// faults and checks can detect a violation.
package main
