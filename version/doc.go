// Package version holds what lives for one version of the configuration: the
// operators' records, their checks and the immutable snapshot compiled from
// them.
package version
