// Package detector finds requests that crash upstreams.
package detector
