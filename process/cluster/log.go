package cluster

import (
	"strings"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// logNote logs a decision of the cell as the corresponding event.
func logNote(log *events.Logger, n cell.Note) {
	switch n.Kind {
	case cell.NoteJobAccepted:
		log.Log(events.JobAccepted, n.Job, n.Team, n.Age.String())
	case cell.NoteJobRefused:
		log.Log(events.JobRefused, n.Job, n.Team, n.Reason, n.Wait.String())
	case cell.NoteJobEnded:
		log.Log(events.JobEnded, n.Job, n.Team, n.State, n.Age.String())
	case cell.NoteJobCancelled:
		log.Log(events.JobCancelled, n.Job, n.Team, n.Age.String())
	case cell.NoteTaskGivenUp:
		log.Log(events.TaskGivenUp, n.Task, n.Team, n.Queue, n.Run, n.Reason)
	case cell.NoteTaskCrashesWorkers:
		log.Log(events.TaskCrashesWorkers, n.Task, n.Team, n.Queue, n.Run, n.Reason)
	case cell.NoteEvacuationBegun:
		log.Log(events.EvacuationBegun, n.FailureDomain, n.DomainWorkers, n.Runs)
	case cell.NoteEvacuationEmpty:
		log.Log(events.EvacuationEmpty, n.FailureDomain, n.DomainWorkers, n.Age.String())
	case cell.NoteEvacuationEnded:
		log.Log(events.EvacuationEnded, n.FailureDomain, n.DomainWorkers, n.Runs)
	case cell.NoteJobSetAside:
		log.Log(events.JobSetAside, n.Job, n.Team, n.Reason)
	case cell.NoteJobLarge:
		log.Log(events.JobLarge, n.Job, n.Team, n.Reason)
	case cell.NoteJobResumed:
		log.Log(events.JobResumed, n.Job, n.Team, n.Wait.String())
	case cell.NotePlaced, cell.NoteRunWithdrawn, cell.NoteStartFailed, cell.NoteRunEnded, cell.NoteRunStalled, cell.NoteRunUnknown, cell.NoteStepWaiting:
		logRun(log, n)
	default:
		logWorker(log, n)
	}
}

func logRun(log *events.Logger, n cell.Note) {
	switch n.Kind {
	case cell.NotePlaced:
		log.Log(events.RunPlaced, n.Task, n.Run, n.Runs, strings.Join(n.Workers, " "), n.Age.String(), n.Wait.String())
	case cell.NoteRunWithdrawn:
		log.Log(events.RunWithdrawn, n.Task, n.Run, n.Worker, n.Reason)
	case cell.NoteStartFailed:
		log.Log(events.StartFailed, n.Task, n.Run, n.Worker, n.Reason, n.Age.String())
	case cell.NoteRunEnded:
		log.Log(events.RunEnded, n.Task, n.Run, n.Worker, n.End, n.Age.String())
	case cell.NoteRunStalled:
		log.Log(events.RunStalled, n.Task, n.Run, n.Worker, n.Age.String(), n.Reason)
	case cell.NoteStepWaiting:
		log.Log(events.StepWaiting, n.Task, n.Team, n.Age.String(), n.Wait.String(), n.Reason, n.Runs)
	case cell.NoteRunUnknown:
		log.Log(events.RunUnknown, n.Task, n.Run, n.Worker, n.Error)
	}
}

func logWorker(log *events.Logger, n cell.Note) {
	switch n.Kind {
	case cell.NoteWorkerAdopted:
		log.Log(events.CellWorkerAdopted, n.Worker, n.Runs, n.Address)
	case cell.NoteWorkerUnreachable:
		log.Log(events.CellWorkerUnreachable, n.Worker, n.Runs, n.Error)
	case cell.NoteWorkerCrashed:
		log.Log(events.CellWorkerCrashed, n.Worker, n.Runs, n.Reason, n.Age.String(), n.Common)
	case cell.NoteWorkerReachable:
		log.Log(events.CellWorkerReachable, n.Worker)
	case cell.NoteWorkerLeaseExpired:
		log.Log(events.CellWorkerLeaseExpired, n.Worker, n.Runs)
	case cell.NoteWorkerRestarted:
		log.Log(events.CellWorkerRestarted, n.Worker, n.Runs)
	case cell.NoteWorkerDraining:
		log.Log(events.CellWorkerDraining, n.Worker)
	case cell.NoteWorkerMissing:
		log.Log(events.CellWorkerMissing, n.Worker)
	case cell.NoteWorkerQuarantined:
		log.Log(events.CellWorkerQuarantined, n.Worker, n.Reason)
	case cell.NoteWorkerSetAside:
		log.Log(events.CellWorkerSetAside, n.Worker, n.Reason)
	case cell.NoteWorkerReleased:
		log.Log(events.CellWorkerReleased, n.Worker)
	}
}

// logAdviceFailure logs a failed advice call.
func (n *Node) logAdviceFailure(m Member, request cell.AdviceRequest, err error) {
	n.log.Log(events.AdviceFailed, request.Step, m.Name, len(request.Workers), err)
}
