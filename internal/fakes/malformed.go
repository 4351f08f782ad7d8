package fakes

// InvalidStatusLines returns status lines that are none, by name.
func InvalidStatusLines() map[string]string {
	return map[string]string{
		"status 000":               "HTTP/1.1 000 OK",
		"status 000 and no reason": "HTTP/1.1 000",
		"status 001":               "HTTP/1.1 001 OK",
		"status 020":               "HTTP/1.1 020 OK",
		"status 099":               "HTTP/1.1 099 OK",
		"status 600":               "HTTP/1.1 600 OK",
		"status 999":               "HTTP/1.1 999 OK",
		"status 101":               "HTTP/1.1 101 OK",
		"status with a plus":       "HTTP/1.1 +20 OK",
		"status with a minus":      "HTTP/1.1 -00 OK",
		"status of two digits":     "HTTP/1.1 20 OK",
		"status of four digits":    "HTTP/1.1 0200 OK",
		"status after two spaces":  "HTTP/1.1  200 OK",
		"other protocol":           "HTTP/2.0 200 OK",
		"old protocol":             "HTTP/0.9 200 OK",
		"unknown protocol":         "HTTP/9.9 200 OK",
	}
}
