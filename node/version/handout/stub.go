package handout

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/version/commit"
	"github.com/radishstand/radishstand/node/version/current"
)

const ReadersPerPlace = 2

type Peers interface{}
type Config struct {
	Holder *current.Holder
	Store  *commit.Store
	Peers  Peers
	Reader func() bool
	Log    *log.Logger
}
type Handout struct{ c Config }

func New(c Config) *Handout                   { return &Handout{c} }
func (h *Handout) Heard(addr string, v int64) {}
func (h *Handout) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if v, err := h.c.Store.HeadVersion(ctx); err == nil && v > 0 {
			if t, err := h.c.Store.Load(ctx, v); err == nil {
				h.c.Holder.Offer(v, t)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
func (h *Handout) HandleFetch(ctx context.Context, r *peerpb.FetchSettingsRequest) (*peerpb.FetchSettingsReply, error) {
	return &peerpb.FetchSettingsReply{}, nil
}
