// Package strict finds answers that net/http accepts although HTTP/1.1 (RFC 9110 and RFC 9112)
// doesn't allow them. What the sender of such an answer meant is not known.
package strict

import (
	"fmt"
	"net/http"
)

// CheckStatus returns an error if resp has a status that no answer can have: one outside of 100 to
// 599, or 101, which answers a request for an upgrade.
func CheckStatus(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case status < 100 || status > 599:
		return fmt.Errorf("strict: answer with status %03d, which HTTP doesn't define", status)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("strict: answer with status %d to a request without Upgrade", status)
	}
	return nil
}
