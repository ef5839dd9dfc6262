package load

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/radishstand/radishstand/api/contract"
)

const (
	// maxLatency is the highest latency in the histogram; higher ones are recorded as this.
	maxLatency        = 20 * time.Minute
	significantDigits = 3
)

// Report summarizes the results of calls.
type Report struct {
	// Calls is the number of calls sent. Skipped calls are not included.
	Calls   int64 `json:"calls"`
	Skipped int64 `json:"skipped"`
	// Run, NotRun and Unknown count the answers by the outcome that the nodes reported.
	Run     int64 `json:"run"`
	NotRun  int64 `json:"notRun"`
	Unknown int64 `json:"unknown"`
	// Failed counts calls without a complete answer from a node. Their outcome is unknown to the caller as well.
	Failed int64 `json:"failed"`
	// ServerErrors counts calls with outcome run and a status of 500 or above.
	ServerErrors int64 `json:"serverErrors"`
	Replayed     int64 `json:"replayed"`
	Wrong        int64 `json:"wrong"`
	// Status counts the answers by status.
	Status map[string]int64 `json:"status"`
	// Reasons counts the answers that nodes generated themselves, by reason.
	Reasons map[string]int64 `json:"reasons"`
	// ByWork counts outcomes by kind of call.
	ByWork map[string]map[string]int64 `json:"byWork"`
	// FirstFailure is the error of the first failed call.
	FirstFailure string  `json:"firstFailure,omitempty"`
	Latency      Latency `json:"latencyMs"`
	Seconds      float64 `json:"seconds"`
	// Rate is the number of calls sent per second.
	Rate float64 `json:"callsPerSecond"`
}

// Latency has quantiles of the latency of answered calls in milliseconds, measured from the intended send time.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Recorder collects results. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	report    Report
	histogram *hdrhistogram.Histogram
	started   time.Time
}

// NewRecorder returns an empty Recorder. Its Report counts the time from now.
func NewRecorder() *Recorder {
	return &Recorder{
		report:    Report{Status: map[string]int64{}, Reasons: map[string]int64{}, ByWork: map[string]map[string]int64{}},
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		started:   time.Now(),
	}
}

// Add records a result.
func (r *Recorder) Add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Skipped {
		r.report.Skipped++
		r.countByWork(result.Work, "skipped")
		return
	}
	r.report.Calls++
	if result.Err != nil {
		r.report.Failed++
		r.countByWork(result.Work, "failed")
		if r.report.FirstFailure == "" {
			r.report.FirstFailure = result.Err.Error()
		}
		return
	}
	r.addAnswer(result)
}

// addAnswer records the result of a call with a complete answer.
func (r *Recorder) addAnswer(result Result) {
	r.report.Status[strconv.Itoa(result.Status)]++
	r.countByWork(result.Work, string(result.Outcome))
	switch result.Outcome {
	case contract.OutcomeRun:
		r.report.Run++
	case contract.OutcomeNotRun:
		r.report.NotRun++
	default:
		r.report.Unknown++
	}
	if result.Outcome == contract.OutcomeRun && result.Status >= http.StatusInternalServerError {
		r.report.ServerErrors++
	}
	if result.Reason != "" {
		r.report.Reasons[result.Reason]++
	}
	if result.Replayed {
		r.report.Replayed++
	}
	if result.Wrong {
		r.report.Wrong++
	}
	latency := min(max(result.Latency, time.Microsecond), maxLatency)
	// RecordValue fails only for values outside the bounds of the histogram.
	_ = r.histogram.RecordValue(latency.Microseconds())
}

// countByWork counts an outcome for its kind of call.
func (r *Recorder) countByWork(w *Work, outcome string) {
	name := w.Method + " " + w.Service + " " + w.Path
	if w.Keyed {
		name += " keyed"
	}
	if r.report.ByWork[name] == nil {
		r.report.ByWork[name] = map[string]int64{}
	}
	r.report.ByWork[name][outcome]++
}

// Report returns a summary of the results so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Status, report.Reasons = maps.Clone(report.Status), maps.Clone(report.Reasons)
	report.ByWork = map[string]map[string]int64{}
	for name, counts := range r.report.ByWork {
		report.ByWork[name] = maps.Clone(counts)
	}
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	report.Latency = Latency{
		P50: ms(r.histogram.ValueAtQuantile(50)), P90: ms(r.histogram.ValueAtQuantile(90)),
		P99: ms(r.histogram.ValueAtQuantile(99)), P999: ms(r.histogram.ValueAtQuantile(99.9)), Max: ms(r.histogram.Max()),
	}
	report.Seconds = time.Since(r.started).Seconds()
	report.Rate = float64(report.Calls) / report.Seconds
	return report
}
