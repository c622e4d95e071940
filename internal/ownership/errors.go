package ownership

import "errors"

// Results of a grant or release call to an upstream.
var (
	// ErrFenced means the upstream has seen a higher fencing token than that
	// of the call.
	ErrFenced = errors.New("upstream has seen a higher fencing token")
	// ErrRejected means the upstream responded that it did not carry out the
	// call.
	ErrRejected = errors.New("upstream rejected the call")
	// ErrNotSent means no byte of the call left this host.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoResponse means the call got no response; the upstream may still
	// carry it out.
	ErrNoResponse = errors.New("upstream did not respond to the call")
	// ErrSenderLost means the host that was to send the call did not respond, so that nobody is known
	// to have ended the call. It is joined with ErrNoResponse.
	ErrSenderLost = errors.New("the host that was to send the call did not respond")
)
