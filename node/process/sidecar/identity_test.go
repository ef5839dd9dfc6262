package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an entry that keeps the server before, which a restarted node would not recognize: another server announced itself
// while the entry was written.
func TestIdentityIsWrittenAgainWhenItHasChanged(t *testing.T) {
	var i identity
	first, second := ServerIdentity{ID: "i-1", Service: "quotes"}, ServerIdentity{ID: "i-2", Service: "quotes"}
	assert.True(t, i.announce(first))
	assert.True(t, i.startWriting())
	assert.True(t, i.announce(second))
	assert.False(t, i.startWriting(), "one write at a time")
	assert.False(t, i.endWriting(first))
	assert.True(t, i.endWriting(second))
	assert.True(t, i.startWriting())
}

// Guards against a server's own announcement that is replaced by what an earlier process has stored.
func TestStoredIdentityIsOlderThanAnAnnouncement(t *testing.T) {
	var i identity
	stored, announced := ServerIdentity{ID: "i-1", Service: "quotes"}, ServerIdentity{ID: "i-2", Service: "crews"}
	i.restore(stored)
	assert.Equal(t, stored, i.get())
	assert.True(t, i.announce(announced))
	assert.False(t, i.announce(announced))
	i.restore(stored)
	assert.Equal(t, announced, i.get())
}
