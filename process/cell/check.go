package cell

import (
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Check validates the specification of a new job: everything behind it must be able to hold, multiply and
// encode its values. The error names the field.
func (s *JobSpec) Check() error {
	if err := s.checkStructure(); err != nil {
		return err
	}
	if err := s.checkTimes(); err != nil {
		return err
	}
	if !utf8.ValidString(s.Text) {
		return fmt.Errorf("spec: the text isn't valid UTF-8")
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(); err != nil {
			return fmt.Errorf("steps[%d].%w", i, err)
		}
	}
	return nil
}

// checkStructure validates what the handling of a job, new or recorded, relies on. The error names the field.
func (s *JobSpec) checkStructure() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("steps: a job needs at least one")
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count < 1 {
			return fmt.Errorf("steps[%d].count: %d is below 1", i, st.Count)
		}
		if st.Need.MilliCPU < 0 || st.Need.MemoryMB < 0 || st.Need.Accelerators < 0 {
			return fmt.Errorf("steps[%d]: a need is negative", i)
		}
		for _, before := range st.After {
			if before < 0 || before >= i {
				return fmt.Errorf("steps[%d].after: %d is no earlier step", i, before)
			}
		}
		// The sum of counts that are too large may overflow.
		if tasks += min(st.Count, MaxTasksPerJob+1); tasks > MaxTasksPerJob {
			return fmt.Errorf("steps: the tasks are more than %d", MaxTasksPerJob)
		}
	}
	return nil
}

// firstTime and endTime bound the times that can be recorded: their years have four digits.
var (
	firstTime = time.Date(0, 1, 1, 0, 0, 0, 0, time.UTC)
	endTime   = time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC)
)

// checkTimes validates the times of a schedule.
func (s *JobSpec) checkTimes() error {
	switch {
	case s.Repeat < 0:
		return fmt.Errorf("repeat_count: %d is below 0", s.Repeat)
	case s.Interval < 0:
		return fmt.Errorf("interval_ms: %d is below 0", s.Interval.Milliseconds())
	case s.Repeat > 0 && s.FirstDue.Before(firstTime):
		return fmt.Errorf("start_at_ms: %d is before the year 0", s.FirstDue.UnixMilli())
	case s.Repeat > 0 && !s.FirstDue.Before(endTime):
		return fmt.Errorf("start_at_ms: %d is after the year 9999; it is in milliseconds since 1970", s.FirstDue.UnixMilli())
	}
	return nil
}

// check validates the values of a step.
func (s *StepSpec) check() error {
	for _, part := range []struct {
		field string
		value int64
		most  int64
	}{
		{"cpu", s.Need.MilliCPU, resource.MaxStated},
		{"cpu", s.BestEffortCPU, resource.MaxStated},
		{"mem_mb", s.Need.MemoryMB, resource.MaxStated},
		{"gpu", s.Need.Accelerators, resource.MaxStated},
		{"estimate_ms", s.Estimate.Milliseconds(), math.MaxInt64},
		{"target_ms", s.Target.Milliseconds(), math.MaxInt64},
		{"max_per_server", int64(s.MaxPerWorker), math.MaxInt64},
		{"may_miss", int64(s.MaxUnavailable), math.MaxInt64},
	} {
		if part.value < 0 {
			return fmt.Errorf("%s: %d is below 0", part.field, part.value)
		}
		if part.value > part.most {
			return fmt.Errorf("%s: %d is above %d", part.field, part.value, part.most)
		}
	}
	for _, label := range []struct{ field, value string }{{"required_label", s.RequiredLabel}, {"preferred_rack", s.PreferredRack}} {
		if !utf8.ValidString(label.value) {
			return fmt.Errorf("%s: the text isn't valid UTF-8", label.field)
		}
	}
	return nil
}
