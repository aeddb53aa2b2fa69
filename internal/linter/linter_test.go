package linter

import (
	"slices"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func soundPolicy() *matcher.Policy {
	priority := 1
	return &matcher.Policy{Version: 7, Limits: matcher.Limits{MaxBodyBytes: 1000},
		Routes: []matcher.Route{
			{Name: "draft", Host: "h", PathPrefix: "/draft/", Kind: matcher.KindStreaming, Timeout: 20_000, TargetLatency: 3000, TargetGap: 800, MaxAttempts: 3,
				Resumable: true, Models: []string{"small", "large"}, Shares: []matcher.Share{{Service: "engine", Weight: 1}}, Regions: []string{"north"}},
			{Name: "order", Host: "h", PathPrefix: "/order/", Kind: matcher.KindAtMostOnce, Timeout: 3000, TargetLatency: 200, MaxAttempts: 1,
				Shares: []matcher.Share{{Service: "desk", Weight: 1}}},
		},
		Services: map[string]matcher.Service{
			"engine": {Name: "engine", MaxConns: 100, BatchSlots: 8, Models: []matcher.Model{{Name: "small"}, {Name: "large"}}, ColdStart: 3000, ColdRate: 11},
			"desk":   {Name: "desk", MaxConns: 100},
		},
		Workspaces: []matcher.Workspace{{Name: "w", APIKeys: []string{"k1", "k2"}, Priority: &priority, Regions: []string{"north", "south"}}},
	}
}

func testFleet() Fleet {
	return Fleet{RegionOf: map[string]string{"n-a": "north", "s-a": "south"}, Instances: 12}
}

func TestLint(t *testing.T) {
	tests := map[string]struct {
		change func(*matcher.Policy)
		want   string
	}{
		"sound":                        {func(*matcher.Policy) {}, ""},
		"prefix without a slash":       {func(p *matcher.Policy) { p.Routes[0].PathPrefix = "draft/" }, "begin and end with a slash"},
		"no host":                      {func(p *matcher.Policy) { p.Routes[0].Host = "" }, "no host"},
		"weight 0":                     {func(p *matcher.Policy) { p.Routes[1].Shares[0].Weight = 0 }, "the weight 0"},
		"model that the service lacks": {func(p *matcher.Policy) { p.Routes[0].Models[1] = "huge" }, "no model huge"},
		"model that no route names": {func(p *matcher.Policy) {
			p.Routes[0].Models = []string{"small"}
			p.Routes[1].Models = []string{"small"}
		}, "its model large"},
		"target over the time limit":        {func(p *matcher.Policy) { p.Routes[1].TargetLatency = 5 * timer.Second }, "longer than the time limit"},
		"pauses over the time limit":        {func(p *matcher.Policy) { p.Routes[0].TargetGap = timer.Minute }, "pauses of 1m0s is longer"},
		"pauses of what is no stream":       {func(p *matcher.Policy) { p.Routes[1].TargetGap = 100 }, "is no stream"},
		"resumable, no stream":              {func(p *matcher.Policy) { p.Routes[1].Resumable, p.Routes[1].MaxAttempts = true, 2 }, "resumable and no stream"},
		"resumable with one attempt":        {func(p *matcher.Policy) { p.Routes[0].MaxAttempts = 1 }, "not by a second attempt"},
		"models with one attempt":           {func(p *matcher.Policy) { p.Routes[0].MaxAttempts = 1 }, "no second attempt may ask a larger one"},
		"unknown region":                    {func(p *matcher.Policy) { p.Routes[0].Regions = []string{"north", "west"} }, "no data centre lies in the region west"},
		"regions that exclude each other":   {func(p *matcher.Policy) { p.Workspaces[0].Regions = []string{"south"} }, "shares no region with route draft"},
		"service without a route":           {func(p *matcher.Policy) { p.Services["spare"] = matcher.Service{Name: "spare"} }, "no route names it"},
		"fewer connections than instances":  {func(p *matcher.Policy) { s := p.Services["desk"]; s.MaxConns = 5; p.Services["desk"] = s }, "5 connections from 12 instances"},
		"cold rate without a time":          {func(p *matcher.Policy) { s := p.Services["engine"]; s.ColdStart = 0; p.Services["engine"] = s }, "cold for no time"},
		"cold rate that lets nothing start": {func(p *matcher.Policy) { s := p.Services["engine"]; s.ColdRate = 0.25; p.Services["engine"] = s }, "after 4.0 s"},
		"workspace without a key":           {func(p *matcher.Policy) { p.Workspaces[0].APIKeys = nil }, "no key"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := soundPolicy()
			tt.change(p)
			list := Lint(p, testFleet())
			if tt.want == "" && len(list) > 0 || tt.want != "" && !slices.ContainsFunc(list, func(f Finding) bool { return strings.Contains(f.Text, tt.want) }) {
				t.Fatalf("found %v, want %q", list, tt.want)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	to := soundPolicy()
	to.Version, to.Limits.MaxBodyBytes = 8, 2000
	to.Routes[0].Timeout = 15_000
	to.Routes[1].Name = "order-2"
	to.Workspaces[0].APIKeys = []string{"k2", "secret"}
	priority := 2
	to.Workspaces[0].Priority = &priority
	want := []string{"version: 7 -> 8", "limits: MaxBodyBytes: 1000 -> 2000", "route draft: Timeout: 20s -> 15s", "route order: removed", "route order-2: added",
		"workspace w: keys: 1 added, 1 removed", "workspace w: Priority: 1 -> 2"}
	got := Diff(soundPolicy(), to)
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	if strings.Contains(strings.Join(got, "\n"), "secret") {
		t.Fatal("a key is shown")
	}
	if got := Diff(soundPolicy(), soundPolicy()); len(got) > 0 {
		t.Fatalf("equal policies differ: %q", got)
	}
}
