package ownership

import "errors"

var (
	// ErrFenced means an upstream has seen a higher fencing token than the
	// one it was shown.
	ErrFenced = errors.New("a higher fencing token was seen")
	// ErrRejected means an upstream answered that it did not take an order.
	ErrRejected = errors.New("upstream refused the order")
	// ErrNotSent means no byte of an order left this host.
	ErrNotSent = errors.New("order was not sent")
	// ErrNoAnswer means an order got no answer; it may be carried out
	// later.
	ErrNoAnswer = errors.New("upstream did not answer the order")
)
