// Package biller writes exactly one bill for each completed request, before its whole answer is sent.
package biller
