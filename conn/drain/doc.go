// Package drain stops an HTTP server without cutting a request that it has read.
//
// net/http's Shutdown closes idle connections while a request may already wait in their
// receive buffers, waits seconds for connections on which no request was ever sent, and
// leaves requests in progress without a response when its context ends. A Server of this
// package knows for each connection whether a request has been read from it and not been
// answered yet, and stops in phases:
//
//  1. New connections are still accepted, since a load balancer takes time to notice that
//     the process isn't ready. Each response closes its connection, so that clients move
//     to other entries.
//  2. The listener is closed once its queue is empty. Requests in progress are answered. A
//     connection is closed when nothing has arrived on it.
//  3. The contexts of requests in progress end, so that their handlers answer at once with
//     what they know.
//  4. Whatever is left is cut off and reported.
//
// Load pattern: clients that keep many connections open and send on them until the process
// is gone, while requests wait for another entry that is being restarted too.
package drain
