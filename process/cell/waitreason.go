package cell

// WaitReason is what an accepted job that could run and doesn't waits for.
type WaitReason int

// The reasons. Those of one step come in the order in which they are looked for.
const (
	// WaitSetAside: the job was set aside, and nothing of it is handled.
	WaitSetAside WaitReason = iota
	// WaitAcceptance: the record of the job's acceptance isn't written.
	WaitAcceptance
	// WaitEndRecord: the job has ended, and the record of that isn't written.
	WaitEndRecord

	// WaitUnreachable: a run is on a worker that can't be reached, and may still occupy capacity.
	WaitUnreachable
	// WaitStartOutcome: the start command of a run had no reply, and may still be carried out.
	WaitStartOutcome
	// WaitStop: a run has to stop, and its end isn't known.
	WaitStop
	// WaitPlacementRecord: a run is planned, and the record of that isn't written.
	WaitPlacementRecord
	// WaitStart: the start command of a run is in progress.
	WaitStart
	// WaitListing: a run was started, now or by an earlier scheduler, and its worker hasn't listed
	// it.
	WaitListing

	// WaitRetry: a start was refused or not delivered, and the delay before the next isn't over.
	WaitRetry
	// WaitNoRound: no planning round has begun lately.
	WaitNoRound
	// WaitRoundCut: the last round ended at its bound of steps that can't be placed, before it came
	// to this one.
	WaitRoundCut
	// WaitNotPlanned: the last round went to its end without this step.
	WaitNotPlanned
	// WaitQuota: the team's quota is used up.
	WaitQuota
	// WaitIsolation: the task may have crashed a worker and waits to run apart from others, or the
	// free workers are kept for such tasks.
	WaitIsolation
	// WaitTooFewWorkers: the workers that accept it couldn't hold it even if they were empty.
	WaitTooFewWorkers
	// WaitCapacity: too little capacity is free on the workers that accept it.
	WaitCapacity
	// WaitAdviceCall: too little is free on workers that advice allows, and a call is in progress.
	WaitAdviceCall
	// WaitAdviceRetry: the same, after a failed call and before the next.
	WaitAdviceRetry
	// WaitAdviceRefused: the same, and advice on all workers that accept it is known.
	WaitAdviceRefused
	// WaitAdviceTurn: the same, while calls of other steps take all that may be in progress.
	WaitAdviceTurn
	// WaitTooFewAllowed: the same, and nothing keeps the step from another call.
	WaitTooFewAllowed
	// WaitTicket: tickets for the workers with free capacity have lapsed.
	WaitTicket
	// WaitReserved: the free workers are reserved for other steps.
	WaitReserved
	// WaitStartLimit: as many starts are in progress as the scheduler may have.
	WaitStartLimit
	// WaitShare: the free capacity is left to work within guaranteed shares.
	WaitShare
	// WaitUnexamined: the last round looked at the step and didn't place it; the workers were not
	// examined for why, as too many jobs wait.
	WaitUnexamined
	// WaitUnexplained: nothing of the above; the step should have been placed.
	WaitUnexplained

	waitReasons
)

// waitReasonNames are the reasons as they appear in logs and metrics, which never change.
var waitReasonNames = [waitReasons]string{
	WaitSetAside:        "set_aside",
	WaitAcceptance:      "acceptance_record",
	WaitEndRecord:       "end_record",
	WaitUnreachable:     "unreachable_worker",
	WaitStop:            "stop",
	WaitPlacementRecord: "placement_record",
	WaitStart:           "start",
	WaitStartOutcome:    "start_outcome",
	WaitListing:         "listing",
	WaitRetry:           "retry",
	WaitNoRound:         "no_round",
	WaitRoundCut:        "round_cut",
	WaitNotPlanned:      "not_planned",
	WaitQuota:           "quota",
	WaitIsolation:       "isolation",
	WaitTooFewWorkers:   "too_few_workers",
	WaitCapacity:        "capacity",
	WaitAdviceCall:      "advice_call",
	WaitAdviceRetry:     "advice_retry",
	WaitAdviceRefused:   "advice_refused",
	WaitAdviceTurn:      "advice_turn",
	WaitTooFewAllowed:   "too_few_allowed",
	WaitTicket:          "ticket",
	WaitReserved:        "reserved",
	WaitStartLimit:      "start_limit",
	WaitShare:           "guaranteed_share",
	WaitUnexamined:      "not_examined",
	WaitUnexplained:     "unexplained",
}

// String returns the reason as it appears in logs and metrics.
func (r WaitReason) String() string {
	if r < 0 || r >= waitReasons {
		return "unknown"
	}
	return waitReasonNames[r]
}
