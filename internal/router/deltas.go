package router

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/merger"
	"geraniumladder/internal/messenger"
)

// handleDeltas returns the configuration deltas that a peer entry lacks when it cannot read the table service.
func (r *Router) handleDeltas(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "from is not a number; send the first revision wanted")
	}
	deltas, ok := r.config.Follower.Deltas(from)
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "these deltas are no longer kept; ask another entry or the table service")
	}
	return c.JSON(http.StatusOK, deltas)
}

// FetchDeltas returns the deltas from number from on, fetched from the first of the entries that has them.
func FetchDeltas(ctx context.Context, m *messenger.Messenger, entries []string, from int64) ([]merger.NumberedDelta, error) {
	err := errors.New("no other entry is known")
	for _, address := range entries {
		var deltas []merger.NumberedDelta
		if err = m.Get(ctx, address, fmt.Sprintf("%s?from=%d", DeltasPath, from), &deltas); err == nil {
			return deltas, nil
		}
	}
	return nil, errors.Wrap(err, "could not fetch the deltas from any peer")
}
