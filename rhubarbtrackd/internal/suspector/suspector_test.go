package suspector_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

const signature = 7

func newSuspector() (*suspector.Suspector, *[]detector.Report) {
	published := &[]detector.Report{}
	return suspector.New(func(r detector.Report) { *published = append(*published, r) }, eventlog.New(zap.NewNop())), published
}

func blocked() []detector.Report {
	return []detector.Report{{Signature: signature, Status: detector.Blocked, Version: 1 << 40, Crashes: 3, Upstream: "u"}}
}

func TestBlockOfATrustedRequestIsDisproved(t *testing.T) {
	s, published := newSuspector()
	s.Complete(time.Second, signature)
	assert.DeepEqual(t, s.Merge(2*time.Second, blocked()), []uint64{signature})
	assert.Equal(t, s.Status(2*time.Second, signature), detector.Clear)
	s.Record(3*time.Second, detector.Completed{Signature: signature})
	assert.Equal(t, len(*published), 1)
	assert.Equal(t, (*published)[0].Status, detector.Clear)
	assert.Assert(t, (*published)[0].Version > blocked()[0].Version, "the block takes precedence over the completion")
}

func TestBlockOfAnotherRequestIsNotDisproved(t *testing.T) {
	s, published := newSuspector()
	s.Complete(time.Second, signature+1)
	assert.Equal(t, len(s.Merge(2*time.Second, blocked())), 0)
	assert.Equal(t, s.Status(2*time.Second, signature), detector.Blocked)
	assert.Equal(t, len(*published), 0, "reports of other hosts are not published again")
}

func TestCompletionsOfSuspectsAndPopularRequestsAreShared(t *testing.T) {
	s, _ := newSuspector()
	assert.Assert(t, !s.Complete(time.Second, signature), "a request that was sent once")
	assert.Assert(t, s.Complete(2*time.Second, signature), "a request that is sent often")
	assert.Assert(t, !s.Complete(3*time.Second, signature), "shared a second ago")
	assert.Assert(t, s.Complete(8*time.Second, signature), "shared long ago")
	s.Record(0, detector.Interrupted{Signature: 9, Upstream: "u"})
	assert.Assert(t, s.Complete(time.Second, 9), "a suspect")
}
