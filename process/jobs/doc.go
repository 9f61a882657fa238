// Package jobs is the keeper of jobs: it accepts them, decides when their tasks
// start, records every start before it is made, and restarts what was lost.
//
// Contract.
//   - A job is accepted only once its row is in the table. ErrUnavailable means
//     that it surely was not accepted; ErrUnknown that nobody knows yet.
//   - A start is in the job's row before the start call is made. The next attempt
//     of a task is placed only after the owner of its worker has said that the
//     last one ended, is lost or never can start.
//   - After a cancellation was acknowledged no task of the job is started.
//   - Every write is conditional on the shard's fence row and on the version of
//     the row written, so that an earlier keeper cannot write after a takeover
//     and a delayed write cannot replace a later one.
//
// Jobs are in shards by a hash of their id; a shard belongs to one entry, its
// keeper, and has its own lock. No lock is held across a call. Rows of many
// jobs are written in one transaction.
package jobs
