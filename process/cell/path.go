package cell

import "time"

// criticalPath returns the estimated duration of the critical path through the steps of o
// that aren't done, including calls for advice.
func (o *occurrence) criticalPath() time.Duration {
	if o.cachedPathKey != o.done+1 {
		o.cachedPath, o.cachedPathKey = o.computeCriticalPath(), o.done+1
	}
	return o.cachedPath
}

func (o *occurrence) computeCriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		var begin time.Duration
		for _, before := range s.spec.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s.done < len(s.tasks) {
			ends[i] += s.spec.Estimate
			if a := s.occ.job.Policy.Advice; a != nil {
				ends[i] += a.CallTime(typicalAdviceWorkers)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// fullCriticalPath returns the estimated duration of the critical path through all steps,
// done or not.
func (j *Job) fullCriticalPath() time.Duration {
	if j.cachedFullPath == 0 {
		j.cachedFullPath = j.computeFullCriticalPath()
	}
	return j.cachedFullPath
}

func (j *Job) computeFullCriticalPath() time.Duration {
	o := occurrence{job: j}
	for i := range j.Steps {
		o.steps = append(o.steps, &step{occ: &o, index: i, spec: &j.Steps[i], tasks: make([]*task, 1)})
	}
	return o.computeCriticalPath()
}

// objective returns how long the job may take from its first submission.
func (j *Job) objective() time.Duration {
	stretch := max(j.Policy.Stretch, 1)
	return time.Duration(min(stretch*float64(j.fullCriticalPath()), float64(maxObjective))) + min(j.Policy.Target, maxObjective)
}

// maxObjective bounds the objective of a job: deadlineFactor times twice that is still a time.Duration.
const maxObjective = 40 * 365 * 24 * time.Hour
