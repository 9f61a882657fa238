// Package jobs coordinates jobs: it accepts them, decides when their tasks start,
// records each start before it is made, and restarts tasks that failed or were lost.
//
// A job consists of equal tasks. Jobs are divided into shards by a hash of their IDs.
// Each shard is owned by one entry, the coordinator of its jobs. The coordinator stores
// one row per job in the platform's table and starts the tasks through the owners of
// the workers, in package tasks. Each run of a task is an attempt with its own number.
//
// Guarantees:
//   - A job is accepted only once its row is in the table. ErrUnavailable means
//     that the job was not accepted, ErrUnknown that the outcome is not known.
//   - A start is recorded in the job's row before the start call is made. The next
//     attempt of a task is placed only after the owner of its worker has reported
//     that the last one has ended, was lost or can no longer start.
//   - After a cancellation was acknowledged, no task of the job is started.
//   - Each write is conditional on the shard's fence row and on the version of the
//     written row, so that an earlier coordinator cannot write after a takeover and
//     a delayed write cannot replace a later one.
//
// Each shard has its own lock. No lock is held across a call. The rows of many jobs
// are written in one transaction.
package jobs
