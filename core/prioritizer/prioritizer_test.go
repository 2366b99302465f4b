package prioritizer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/prioritizer"
)

var (
	match  = prioritizer.Class{Service: "scans", Route: "match", Priority: 0, Objective: 500 * time.Millisecond}
	upload = prioritizer.Class{Service: "scans", Route: "upload", Priority: 2, Objective: 4 * time.Second}
)

// TestAssess checks which class has a limit, and that a limit ends within a second after the last urgent request.
func TestAssess(t *testing.T) {
	other := prioritizer.Class{Service: "cards", Route: "match", Priority: 0, Objective: 500 * time.Millisecond}
	similar := prioritizer.Class{Service: "scans", Route: "orders", Priority: 1, Objective: 3 * time.Second}
	equal := upload
	equal.Route = "archive"
	tests := []struct {
		name      string
		arrivals  []prioritizer.Class // at second 10
		now       time.Duration
		class     prioritizer.Class
		returning bool
		want      prioritizer.Standing
	}{
		{"alone", []prioritizer.Class{upload}, 10 * time.Second, upload, false, prioritizer.Standing{Run: 200 * time.Millisecond}},
		{"another class of the same priority", []prioritizer.Class{upload, equal}, 10 * time.Second, upload, false,
			prioritizer.Standing{Run: 200 * time.Millisecond}},
		{"more urgent class of another service", []prioritizer.Class{upload, other}, 10 * time.Second, upload, false,
			prioritizer.Standing{Run: 200 * time.Millisecond}},
		{"less urgent", []prioritizer.Class{upload, match}, 10 * time.Second, upload, false,
			prioritizer.Standing{Competing: true, Run: 200 * time.Millisecond, WaitLimit: 75 * time.Millisecond}},
		{"less urgent, returning", []prioritizer.Class{upload, match}, 10 * time.Second, upload, true,
			prioritizer.Standing{Competing: true, Run: 200 * time.Millisecond, WaitLimit: 150 * time.Millisecond}},
		{"less urgent, similar objective", []prioritizer.Class{upload, similar}, 10 * time.Second, upload, false,
			prioritizer.Standing{Competing: true, Run: 200 * time.Millisecond}},
		{"urgent", []prioritizer.Class{upload, match}, 10 * time.Second, match, false,
			prioritizer.Standing{Competing: true, Urgent: true, Run: 200 * time.Millisecond}},
		{"urgent demand has ended", []prioritizer.Class{upload, match}, 11100 * time.Millisecond, upload, false,
			prioritizer.Standing{Run: 200 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := prioritizer.New()
			for _, class := range tt.arrivals {
				p.RecordArrival(10*time.Second, class)
			}
			for range 4 { // above the minimum share
				p.RecordDecision(10*time.Second, upload, true)
			}
			assert.DeepEqual(t, p.Assess(tt.now, tt.class, tt.returning, 200*time.Millisecond), tt.want)
		})
	}
}

// TestFewUrgentRequests checks that the limit grows as the share of urgent requests falls. Otherwise a route with a few urgent
// requests per second would stop all others of its service.
func TestFewUrgentRequests(t *testing.T) {
	tests := []struct {
		name           string
		urgent, others int
		want           time.Duration
	}{
		{"half", 50, 50, 75 * time.Millisecond},
		{"a quarter", 25, 75, 75 * time.Millisecond},
		{"an eighth", 10, 70, 150 * time.Millisecond},
		{"a fiftieth", 2, 98, 937500 * time.Microsecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := prioritizer.New()
			for range tt.others {
				p.RecordArrival(time.Second, upload)
				p.RecordDecision(time.Second, upload, true)
			}
			for range tt.urgent {
				p.RecordArrival(time.Second, match)
			}
			assert.Equal(t, p.Assess(time.Second, upload, false, 200*time.Millisecond).WaitLimit, tt.want)
		})
	}
}

// TestMinimumShare checks that a class that is never admitted within its limit gets its minimum share without one, so that a
// constant urgent demand does not stop it altogether.
func TestMinimumShare(t *testing.T) {
	p := prioritizer.New()
	admitted, asked := 0, 400
	for i := range asked {
		now := time.Duration(i) * 100 * time.Millisecond
		p.RecordArrival(now, match)
		p.RecordArrival(now, upload)
		admit := p.Assess(now, upload, false, 200*time.Millisecond).WaitLimit == 0
		p.RecordDecision(now, upload, admit)
		if admit {
			admitted++
		}
	}
	share := float64(admitted) / float64(asked)
	assert.Assert(t, share > 0.2 && share < 0.3, "share %.2f", share)
}

// TestRunTimeByClass checks that the run time of each class is estimated from its own requests while classes compete. The
// mean of all requests is too long for short urgent ones, which would be rejected although they are in time.
func TestRunTimeByClass(t *testing.T) {
	p := prioritizer.New()
	p.RecordArrival(0, match)
	for range 200 {
		p.RecordRunTime(match, 100*time.Millisecond, 200*time.Millisecond)
		p.RecordRunTime(upload, 400*time.Millisecond, 200*time.Millisecond)
	}
	alone := p.Assess(0, match, false, 300*time.Millisecond)
	assert.Equal(t, alone.Run, 300*time.Millisecond)
	p.RecordArrival(0, upload)
	run := p.Assess(0, match, false, 300*time.Millisecond).Run
	assert.Assert(t, run > 145*time.Millisecond && run < 155*time.Millisecond, "%v", run)
	run = p.Assess(0, upload, false, 300*time.Millisecond).Run
	assert.Assert(t, run > 580*time.Millisecond && run < 620*time.Millisecond, "%v", run)
}
