package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// pastCapacity is a capacity that a worker had until the given time.
type pastCapacity struct {
	until  time.Time
	amount resource.Amount
}

// Times after which a smaller capacity counts: a worker reports it with its next renewal of
// the directory, and the scheduler has some time to learn of it.
const (
	fakeRenewal  = 1500 * time.Millisecond
	fakeContact  = 3 * time.Second
	shrinkLeeway = fakeContact + fakeRenewal
)

// setCapacity changes the worker's capacity. The directory shows it up to fakeRenewal later.
func (w *simulation) setCapacity(f *fakeWorker, amount resource.Amount) {
	f.earlier = append(f.earlier, pastCapacity{w.now, f.capacity})
	f.capacity = amount
	w.after(time.Duration(w.rand.Int64N(int64(fakeRenewal))), func() {
		f.reported = f.capacity
		w.setListed(f, f.listed)
	})
}

// holds reports whether the worker may have started a task that brings its use to the given
// amount: a capacity that it had within shrinkLeeway suffices.
func (f *fakeWorker) holds(now time.Time, used resource.Amount) bool {
	if used.Fits(f.capacity) {
		return true
	}
	return slices.ContainsFunc(f.earlier, func(p pastCapacity) bool {
		return now.Sub(p.until) <= shrinkLeeway && used.Fits(p.amount)
	})
}

// shrink takes a share of 30 to 70 percent of the worker's capacity for the given time.
func (w *simulation) shrink(f *fakeWorker, share float64, lasts time.Duration) {
	full := resource.Amount{MilliCPU: 32000, MemoryMB: 65536}
	w.setCapacity(f, resource.Amount{
		MilliCPU: int64(float64(full.MilliCPU) * (1 - share)), MemoryMB: int64(float64(full.MemoryMB) * (1 - share)),
	})
	w.after(lasts, func() { w.setCapacity(f, full) })
}
