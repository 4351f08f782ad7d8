package fakes

import "strings"

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

// InvalidFields returns lines of a head that are no fields, by name. None of them is about the framing of the body.
func InvalidFields() map[string]string {
	return map[string]string{
		"blank before the colon":        "Odd : a\r\n",
		"two blanks before the colon":   "Odd  : a\r\n",
		"blank in the name":             "Odd Name: a\r\n",
		"blank before the name":         " Odd: a\r\n",
		"tab before the name":           "\tOdd: a\r\n",
		"tab before the colon":          "Odd\t: a\r\n",
		"tab in the name":               "Odd\tName: a\r\n",
		"folded value":                  "Odd: a\r\n b\r\n",
		"name on two lines":             "Odd\r\n Name: a\r\n",
		"NUL in the name":               "Odd\x00Name: a\r\n",
		"NUL before the colon":          "Odd\x00: a\r\n",
		"control byte in the name":      "Odd\x01Name: a\r\n",
		"control byte before the name":  "\x1fOdd: a\r\n",
		"delete byte in the name":       "Odd\x7f: a\r\n",
		"vertical tab in the name":      "Odd\vName: a\r\n",
		"form feed before the colon":    "Odd\f: a\r\n",
		"carriage return in the name":   "Odd\rName: a\r\n",
		"carriage return before a line": "\rOdd: a\r\n",
		"empty name":                    ": a\r\n",
		"no colon":                      "Odd\r\n",
		"bytes beyond ASCII":            "Odd\xe9: a\r\n",
		"separator in the name":         "Odd(a): a\r\n",
		"control byte in the value":     "Odd: a\x01b\r\n",
		"carriage return in the value":  "Odd: a\rb\r\n",
		"NUL in the value":              "Odd: a\x00b\r\n",
		"two carriage returns":          "Odd: a\r\r\n",
	}
}

// InvalidLengths returns lines of a head that state a length but are no fields, by name. In them, {LENGTH} is the length of the body.
func InvalidLengths() map[string]string {
	return invalidFraming("Content-Length", "{LENGTH}")
}

// InvalidChunked returns lines of a head that state that the body comes in chunks but are no fields, by name.
func InvalidChunked() map[string]string {
	return invalidFraming("Transfer-Encoding", "chunked")
}

func invalidFraming(nam, val string) map[string]string {
	return map[string]string{
		"blank before the colon":      nam + " : " + val + "\r\n",
		"blank before the name":       " " + nam + ": " + val + "\r\n",
		"tab before the name":         "\t" + nam + ": " + val + "\r\n",
		"tab before the colon":        nam + "\t: " + val + "\r\n",
		"blank for the hyphen":        strings.ReplaceAll(nam, "-", " ") + ": " + val + "\r\n",
		"control byte in the name":    nam + "\x01: " + val + "\r\n",
		"NUL before the name":         "\x00" + nam + ": " + val + "\r\n",
		"carriage return in the name": nam + "\r: " + val + "\r\n",
	}
}

// UploadEndings returns endings of a response without a length that comes while an upload is being written, and whether the response is
// complete with them. What follows the first byte of an ending names it.
func UploadEndings() map[string]bool {
	return map[string]bool{ThenReset: false, ThenResetLater: false, ThenHalfClose: true, ThenHalfCloseReset: true}
}
