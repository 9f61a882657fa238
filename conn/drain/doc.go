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
//     connection is closed when nothing has arrived on it, with the notice below.
//  3. The contexts of requests in progress end, so that their handlers answer at once with
//     what they know.
//  4. Whatever is left is cut off and reported.
//
// # The end of an idle connection
//
// A request may be on its way when the server closes an idle connection. HTTP/1.1 has no
// message with which a server announces such a close, so the client of this request would see
// its connection end without an answer and could not know whether the request was handled. A
// connection therefore ends with an unsolicited response 408 with "Connection: close" (RFC
// 9110, section 15.5.9): the server has not received a complete request in the time that it
// was prepared to wait. It is sent only if no request is in progress and the HTTP server will
// read no further one, and it is the last thing on the connection. Whatever the client
// then sends isn't handled and may be repeated, also if the request isn't idempotent.
//
// Weighed: to keep idle connections longer. Fewer requests cross the close then, but some
// still do, and each restart takes longer. To answer requests that arrive after the
// connection was closed for writing: there is no way to send the answer.
//
// Load pattern: clients that keep many connections open and send on them until the process
// is gone, while requests wait for another entry that is being restarted too.
package drain
