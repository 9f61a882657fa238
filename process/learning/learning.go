// Package learning estimates how long work of a kind runs and how large it is, from
// what workers report.
//
// Declared sizes and run times are hints and often far off; reports lag and come in
// any order. For each kind a histogram with geometric buckets keeps a faded count of
// run times and, by dimension, of the part of the declared amount that was used.
// Quantiles of it are within one bucket's width of the true ones (Masson, Rim and Lee,
// "DDSketch", VLDB 2019).
//
// What is learned never lets more onto a worker than its capacity: Size is never below
// the declared amount, so that counted work is at least what was promised to the
// caller, and it only grows towards what work of the kind was seen to use.
//
// A Learner reads no clock and is not safe for concurrent use.
package learning

import (
	"math"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// minReports is how many reports of a kind are needed before they count.
	minReports = 20
	// sizeQuantile is the part of work that a learned size is to cover.
	sizeQuantile = 0.95
	// fade is what a report still counts after the next one of its kind.
	fade = 0.999
)

// Report is what one piece of work turned out to use.
type Report struct {
	Kind     string
	Declared resource.Amount
	// Used is the most that was measured of each dimension, zero if unknown.
	Used resource.Amount
	// RunTime is zero for work that has not ended.
	RunTime time.Duration
}

// kindRecord is what was learned of a kind.
type kindRecord struct {
	reports  int
	runTimes histogram
	used     [resource.Dimensions]histogram
}

// Learner holds what was learned of every kind.
type Learner struct{ kinds map[string]*kindRecord }

// New returns a learner that knows nothing.
func New() *Learner { return &Learner{kinds: make(map[string]*kindRecord)} }

// Add takes in a report.
func (l *Learner) Add(r Report) {
	k := l.kinds[r.Kind]
	if k == nil {
		k = &kindRecord{}
		l.kinds[r.Kind] = k
	}
	k.reports++
	if r.RunTime > 0 {
		k.runTimes.add(r.RunTime.Seconds())
	}
	declared, used := r.Declared.Vector(), r.Used.Vector()
	for d := range resource.Dimensions {
		if declared[d] > 0 && used[d] > 0 {
			k.used[d].add(float64(used[d]) / float64(declared[d]))
		}
	}
}

// RunTime returns the run time that the quantile, in (0, 1), of the kind's work stays
// within; the declared one while too little is known.
func (l *Learner) RunTime(kind string, declared time.Duration, quantile float64) time.Duration {
	k := l.kinds[kind]
	if k == nil || k.reports < minReports || k.runTimes.sum == 0 {
		return declared
	}
	return time.Duration(k.runTimes.quantile(quantile) * float64(time.Second))
}

// Size returns what to count for work of the kind: the declared amount, raised in each
// dimension of which most work used more, but to no more than largest, the capacity of
// the largest worker.
func (l *Learner) Size(kind string, declared, largest resource.Amount) resource.Amount {
	k := l.kinds[kind]
	if k == nil || k.reports < minReports {
		return declared
	}
	size := declared.Vector()
	for _, d := range []resource.Dimension{resource.MilliCPU, resource.MemoryMB} {
		if k.used[d].sum > 0 {
			factor := max(1, k.used[d].quantile(sizeQuantile))
			size[d] = int64(math.Ceil(float64(size[d]) * factor))
		}
	}
	return declared.Max(resource.FromVector(size).Min(largest))
}

const (
	// bucketRatio is the width of a bucket.
	bucketRatio = 1.1
	// lowest is the value of the first bucket, buckets their number.
	lowest  = 1e-4
	buckets = 256
)

// histogram is a faded count of values in geometric buckets.
type histogram struct {
	counts [buckets]float64
	sum    float64
	// weight is what the next value counts; it grows in place of fading all others.
	weight float64
}

// maxWeight is where counts are scaled back.
const maxWeight = 1e100

func (h *histogram) add(value float64) {
	if h.weight == 0 {
		h.weight = 1
	}
	i := int(math.Ceil(math.Log(value/lowest) / math.Log(bucketRatio)))
	h.counts[min(max(i, 0), buckets-1)] += h.weight
	h.sum += h.weight
	h.weight /= fade
	if h.weight > maxWeight {
		h.scaleBack()
	}
}

func (h *histogram) scaleBack() {
	for i := range h.counts {
		h.counts[i] /= maxWeight
	}
	h.sum /= maxWeight
	h.weight /= maxWeight
}

// quantile returns the upper bound of the bucket in which the quantile falls.
func (h *histogram) quantile(q float64) float64 {
	rest := q * h.sum
	i := 0
	for ; i < buckets-1; i++ {
		rest -= h.counts[i]
		if rest <= 0 {
			break
		}
	}
	return lowest * math.Pow(bucketRatio, float64(i))
}
