// Package resource defines the amounts of resources in which the scheduler expresses
// usage, limits and requirements.
//
// An Amount is a vector. All arithmetic is element by element, in integers, so that the
// sum of the parts is exactly the whole.
package resource

import "fmt"

// Amount is the quantity of each resource that a task or request occupies on a worker.
type Amount struct {
	// Running counts tasks and requests in progress.
	Running int64 `json:"running,omitempty" toml:"running,omitempty"`
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty" toml:"milli_cpu,omitempty"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `json:"memory_mb,omitempty" toml:"memory_mb,omitempty"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty" toml:"accelerators,omitempty"`
	// Slots counts request slots, which limit the requests that a worker runs at once.
	Slots int64 `json:"slots,omitempty" toml:"slots,omitempty"`
}

// MaxStated bounds each element of an amount that another party states, such as a worker's
// capacity: the sum over a million workers is still an int64.
const MaxStated = 1 << 40

// Dimension identifies one element of an Amount.
type Dimension int

// Dimensions of an Amount, in the order of its fields.
const (
	Running Dimension = iota
	MilliCPU
	MemoryMB
	Accelerators
	Slots
	// Dimensions is the number of dimensions.
	Dimensions
)

var dimensionNames = [Dimensions]string{"running", "milli_cpu", "memory_mb", "accelerators", "slots"}

// String returns the name of the dimension as used in stored records.
func (d Dimension) String() string {
	if d < 0 || d >= Dimensions {
		return fmt.Sprintf("dimension(%d)", int(d))
	}
	return dimensionNames[d]
}

// Vector returns the amount as an array indexed by Dimension.
func (a Amount) Vector() [Dimensions]int64 {
	return [Dimensions]int64{a.Running, a.MilliCPU, a.MemoryMB, a.Accelerators, a.Slots}
}

// FromVector returns the Amount whose Vector is v.
func FromVector(v [Dimensions]int64) Amount {
	return Amount{
		Running:      v[Running],
		MilliCPU:     v[MilliCPU],
		MemoryMB:     v[MemoryMB],
		Accelerators: v[Accelerators],
		Slots:        v[Slots],
	}
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{
		Running:      a.Running + b.Running,
		MilliCPU:     a.MilliCPU + b.MilliCPU,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
		Slots:        a.Slots + b.Slots,
	}
}

// Sub returns a - b. Elements may become negative.
func (a Amount) Sub(b Amount) Amount {
	return a.Add(b.Times(-1))
}

// Times returns a multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{
		Running:      a.Running * n,
		MilliCPU:     a.MilliCPU * n,
		MemoryMB:     a.MemoryMB * n,
		Accelerators: a.Accelerators * n,
		Slots:        a.Slots * n,
	}
}

// Fits reports whether a is at most limit in every dimension.
func (a Amount) Fits(limit Amount) bool {
	_, short := a.FirstOver(limit)
	return !short
}

// FirstOver returns the first dimension in which a exceeds limit, if any.
func (a Amount) FirstOver(limit Amount) (Dimension, bool) {
	want, have := a.Vector(), limit.Vector()
	for d := range Dimensions {
		if want[d] > have[d] {
			return d, true
		}
	}
	return 0, false
}

// IsZero reports whether every element is zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Min returns the element-wise minimum of a and b.
func (a Amount) Min(b Amount) Amount {
	x, y := a.Vector(), b.Vector()
	for d := range Dimensions {
		x[d] = min(x[d], y[d])
	}
	return FromVector(x)
}

// Max returns the element-wise maximum of a and b.
func (a Amount) Max(b Amount) Amount {
	x, y := a.Vector(), b.Vector()
	for d := range Dimensions {
		x[d] = max(x[d], y[d])
	}
	return FromVector(x)
}

// DominantShare returns the largest fraction of total that a takes in any dimension.
// Dimensions in which total is zero or negative are ignored.
//
// Source: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
func (a Amount) DominantShare(total Amount) float64 {
	part, whole := a.Vector(), total.Vector()
	var share float64
	for d := range Dimensions {
		if whole[d] <= 0 {
			continue
		}
		share = max(share, float64(part[d])/float64(whole[d]))
	}
	return share
}
