package exchange

import (
	"net/http"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
)

const (
	// HeaderLeaving is set to "1" in all answers of an upstream that is leaving.
	HeaderLeaving    = "Wisterialb-Leaving"
	leavingValue     = "1"
	headerRetryAfter = "Retry-After"
)

// noticeOf returns what the answer asks of the router.
func noticeOf(response *http.Response, source string) notice.Request {
	request := notice.Request{Leaving: response.Header.Get(HeaderLeaving) == leavingValue, Source: source}
	if response.StatusCode == http.StatusServiceUnavailable {
		request.Pause = notice.ParseRetryAfter(response.Header.Get(headerRetryAfter))
	}
	return request
}

// readNotice passes on what the answer asks, if it asks for something.
func (client *Client) readNotice(response *http.Response, source string) {
	if client.config.OnNotice == nil {
		return
	}
	if request := noticeOf(response, source); request.Leaving || request.Pause > 0 {
		client.config.OnNotice(request)
	}
}
