// Package classifier decides from the rules of a service whether a request may be repeated.
//
// # Usage
//
//	class := classifier.Classify(service.Rules, request.Method, pathBelowService)
//
// The path is the decoded path below the service. Patterns are those of path.Match; a trailing "/**" also matches any
// number of further segments, and an empty pattern matches every path. A leading slash is optional on both sides.
package classifier

import (
	"path"
	"strings"

	"rhubarbtrack.example/core/configurator"
)

const recursiveSuffix = "/**"

// Classify returns the class of the first rule that matches. Without a match, GET, HEAD and OPTIONS are safe and all
// other methods are never repeated.
//
// Requests with empty, "." or ".." segments in the path are never repeated, because the upstream may resolve the path to
// one that another rule matches. A malformed pattern ends the search with NeverRepeat, because it is unknown which
// requests it should match.
func Classify(rules []configurator.Rule, method, requestPath string) configurator.Class {
	requestPath = strings.TrimPrefix(requestPath, "/")
	if isAmbiguous(requestPath) {
		return configurator.NeverRepeat
	}
	for _, rule := range rules {
		if rule.Method != "" && rule.Method != method {
			continue
		}
		matched, err := matches(rule.Path, requestPath)
		if err != nil {
			return configurator.NeverRepeat
		}
		if matched {
			return rule.Class
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return configurator.Safe
	default:
		return configurator.NeverRepeat
	}
}

func matches(pattern, requestPath string) (bool, error) {
	if pattern == "" || pattern == "**" || pattern == recursiveSuffix {
		return true, nil
	}
	pattern = strings.TrimPrefix(pattern, "/")
	prefix, recursive := strings.CutSuffix(pattern, recursiveSuffix)
	if !recursive {
		return path.Match(pattern, requestPath)
	}
	return path.Match(prefix, firstSegments(requestPath, strings.Count(prefix, "/")+1))
}

// firstSegments returns the first count segments of requestPath, or all of it when it has fewer.
func firstSegments(requestPath string, count int) string {
	for i := range len(requestPath) {
		if requestPath[i] != '/' {
			continue
		}
		count--
		if count == 0 {
			return requestPath[:i]
		}
	}
	return requestPath
}

// isAmbiguous reports whether an upstream may resolve the path to a different one. A single trailing slash is allowed.
func isAmbiguous(requestPath string) bool {
	trimmed := strings.TrimSuffix(requestPath, "/")
	if trimmed == "" {
		return requestPath != ""
	}
	for segment := range strings.SplitSeq(trimmed, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
