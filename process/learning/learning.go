// Package learning estimates the run time and the size of each kind of work from the
// reports of workers.
//
// Declared sizes and run times are hints and often far off. Reports are delayed and
// arrive in any order. For each kind, histograms with geometric buckets hold decayed
// counts of run times and, per dimension, of the fraction of the declared amount that
// was used. Their quantiles are within one bucket's width of the true ones (Masson, Rim
// and Lee, "DDSketch", VLDB 2019).
//
// Estimates never cause a worker to be overcommitted: Size is never below the declared
// amount, so the amount that is counted is at least the amount promised to the
// caller, and it only grows towards the usage observed for the kind.
//
// A Learner reads no clock and is not safe for concurrent use.
package learning

import (
	"math"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// minReports is the number of reports of a kind required before an estimate
	// replaces the declared values.
	minReports = 20
	// sizeQuantile is the fraction of work that the estimated size must cover.
	sizeQuantile = 0.95
	// reportDecay is the factor by which the weight of a report falls with every later
	// report of its kind.
	reportDecay = 0.999
)

// Report is the measured usage of one piece of work.
type Report struct {
	Kind     string
	Declared resource.Amount
	// Used is the peak usage measured in each dimension, zero if unknown.
	Used resource.Amount
	// RunTime is zero for work that has not ended.
	RunTime time.Duration
}

// kindRecord holds the reports of a kind.
type kindRecord struct {
	reports  int
	runTimes histogram
	used     [resource.Dimensions]histogram
}

// Learner holds the reports of all kinds.
type Learner struct{ kinds map[string]*kindRecord }

// New returns a Learner without reports.
func New() *Learner { return &Learner{kinds: make(map[string]*kindRecord)} }

// Add adds a report.
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

// RunTime returns the estimated quantile, in (0, 1), of the kind's run time, or the
// declared run time while there are too few reports.
func (l *Learner) RunTime(kind string, declared time.Duration, quantile float64) time.Duration {
	k := l.kinds[kind]
	if k == nil || k.reports < minReports || k.runTimes.sum == 0 {
		return declared
	}
	return time.Duration(k.runTimes.quantile(quantile) * float64(time.Second))
}

// Size returns the amount to count for work of the kind: the declared amount, with
// processors and memory raised to the sizeQuantile of the observed usage if that is
// more, but to no more than largest, the capacity of the largest worker.
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
	// bucketRatio is the ratio between the bounds of neighbouring buckets.
	bucketRatio = 1.1
	// lowestBucket is the upper bound of the first bucket, and bucketCount the number
	// of buckets.
	lowestBucket = 1e-4
	bucketCount  = 256
)

// histogram is a decayed count of values in geometric buckets.
type histogram struct {
	counts [bucketCount]float64
	sum    float64
	// weight is the weight of the next value. It grows, which avoids decaying all
	// earlier counts.
	weight float64
}

// maxWeight is the weight above which all counts are rescaled.
const maxWeight = 1e100

func (h *histogram) add(value float64) {
	if h.weight == 0 {
		h.weight = 1
	}
	i := int(math.Ceil(math.Log(value/lowestBucket) / math.Log(bucketRatio)))
	h.counts[min(max(i, 0), bucketCount-1)] += h.weight
	h.sum += h.weight
	h.weight /= reportDecay
	if h.weight > maxWeight {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= maxWeight
	}
	h.sum /= maxWeight
	h.weight /= maxWeight
}

// quantile returns the upper bound of the bucket that contains the quantile q.
func (h *histogram) quantile(q float64) float64 {
	rest := q * h.sum
	i := 0
	for ; i < bucketCount-1; i++ {
		rest -= h.counts[i]
		if rest <= 0 {
			break
		}
	}
	return lowestBucket * math.Pow(bucketRatio, float64(i))
}
