package control

import (
	"errors"

	"github.com/papayatide/papayatide/internal/logservice"
)

func isConflict(err error) bool { return errors.Is(err, logservice.ErrConflict) }
