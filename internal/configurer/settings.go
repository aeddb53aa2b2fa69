package configurer

import (
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Instance identifies the instance, its data centre and its role.
type Instance struct {
	Name       string `ini:"name" required:"yes" doc:"Name of the instance, unique in the fleet."`
	DataCentre string `ini:"data-centre" required:"yes" doc:"Data centre that the instance runs in, as the document names it."`
	// Regions lists the region of each data centre as DATA-CENTRE:REGION.
	Regions []string `ini:"regions" doc:"Region of each data centre, as DATA-CENTRE:REGION; a data centre that is not listed is a region of its own."`
	Role    Role     `ini:"role" default:"whole" accept:"whole|entry|control" doc:"What the instance does: everything, only callers' requests, or only control."`
}

// RegionOf returns the region of each listed data centre.
func (i Instance) RegionOf() map[string]string {
	regions := map[string]string{}
	for _, entry := range i.Regions {
		dataCentre, region, _ := strings.Cut(entry, ":")
		regions[dataCentre] = region
	}
	return regions
}

// Role selects which part of the system an instance runs.
type Role string

// Roles of an instance.
const (
	RoleWhole   Role = "whole"
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Listen holds the addresses on which the instance accepts connections.
type Listen struct {
	Callers decoder.Address `ini:"callers" doc:"Address for callers; control instances have none."`
	Control decoder.Address `ini:"control" doc:"Address for announcements, operators and metrics; entry instances have none."`
	Links   decoder.Address `ini:"links" doc:"Address for the links of other instances; the control address when empty. All control instances use the same port."`
	Ready   decoder.Address `ini:"ready" doc:"Address at which an entry instance tells the balancer whether it takes callers."`
	Tunnels decoder.Address `ini:"tunnels" doc:"Address at which an entry instance relays the connections of other entry instances to backend servers that these do not reach; only known backend servers are connected to. It relays none when empty."`
	Metrics decoder.Address `ini:"metrics" doc:"Address of the metrics of entry and control instances; none when empty."`
}

// Links holds the files for mutual TLS between instances.
type Links struct {
	Certificate string `ini:"certificate" doc:"PEM file with this instance's certificate for links; plain links when empty."`
	Key         string `ini:"key" doc:"PEM file with the private key."`
	Authority   string `ini:"authority" doc:"PEM file with the authority that signs every instance's certificate."`
}

// TLS holds the certificate files of the callers' listener, which reloads them when they change.
type TLS struct {
	Certificate string       `ini:"certificate" doc:"PEM file with the certificate chain; plain HTTP when empty."`
	Key         string       `ini:"key" doc:"PEM file with the private key."`
	CheckEvery  timer.Millis `ini:"check-every" default:"10s" min:"100ms" doc:"Time between looks at the files for a new certificate."`
}

// DocumentFile holds the path of the environment document that is read at start.
type DocumentFile struct {
	File string `ini:"file" doc:"File with the first environment document of an instance that has no peers; a fleet takes its documents from the record."`
}

// Peers configures how the instance discovers other instances and detects lost ones.
type Peers struct {
	Seeds   []decoder.Address `ini:"seeds" doc:"Control addresses of instances to meet first; an instance without seeds is a fleet of its own."`
	Silence timer.Millis      `ini:"silence" default:"3s" min:"500ms" max:"1m" doc:"Silence after which another instance, or the record, counts as out of reach."`
	Forget  timer.Millis      `ini:"forget" default:"10m" min:"5s" doc:"Silence after which another instance is forgotten."`
}

// Record configures the membership of the replicated record.
type Record struct {
	Voters       int          `ini:"voters" default:"3" min:"1" max:"7" doc:"Voters that the record keeps, among the instances with a data folder."`
	ReplaceAfter timer.Millis `ini:"replace-after" default:"30s" min:"1s" doc:"Silence after which a lost voter is replaced by a spare."`
	Losses       int          `ini:"losses" default:"1" min:"0" max:"3" doc:"Control instances that may be lost at once; a record of control instances keeps twice as many voters and one more, at least 3."`
	Found        bool         `ini:"found" default:"no" doc:"Whether the control instances among the seeds make a new record together where their disks are empty."`
}

// Data holds the folder for data that must survive a restart of the instance.
type Data struct {
	Folder string `ini:"folder" doc:"Folder for bills, claims and changes; kept in memory alone when empty."`
}

// Session configures the signing secret and the lifetime of sessions.
type Session struct {
	SecretFile string       `ini:"secret-file" doc:"File with the secret that signs session tokens, the same on every instance; a random one when empty."`
	Span       timer.Millis `ini:"span" default:"5s" min:"100ms" doc:"How long a session keeps its version on an entry instance without a request."`
}

// Limits bounds the memory, the time and the retries that requests can use.
type Limits struct {
	MaxBody      decoder.Bytes `ini:"max-body" default:"4MiB" min:"1KiB" max:"64MiB" doc:"Largest request body."`
	MaxHeader    decoder.Bytes `ini:"max-header" default:"64KiB" min:"4KiB" max:"1MiB" doc:"Largest request header."`
	MaxAnswer    decoder.Bytes `ini:"max-answer" default:"8MiB" min:"1KiB" max:"256MiB" doc:"Largest answer that is not streamed, held until it is whole."`
	MaxEvent     decoder.Bytes `ini:"max-event" default:"256KiB" min:"4KiB" max:"8MiB" doc:"Largest event of a streamed answer."`
	MaxInFlight  int           `ini:"max-in-flight" default:"4096" min:"1" max:"100000" doc:"Most requests that run at once."`
	MaxWait      timer.Millis  `ini:"max-wait" default:"30s" min:"10ms" max:"10m" doc:"Longest wait in the queue."`
	Deadline     timer.Millis  `ini:"deadline" default:"5m" min:"100ms" max:"1h" doc:"Longest time for a request that sets no deadline, and the most that one may ask for."`
	CallerStall  timer.Millis  `ini:"caller-stall" default:"30s" min:"100ms" max:"10m" doc:"Longest time that a caller may leave a piece of its answer unread."`
	MaxHeld      decoder.Bytes `ini:"max-held" default:"32MiB" min:"1MiB" max:"16GiB" doc:"Most bytes that the requests at all addresses of the instance hold together, from the first byte of their headers on. Requests of more than 64 KiB may use three quarters of it. When it is used up, unfinished requests that are late give way, the largest first; others are refused as not run. It must hold one request of the largest size."`
	SlowAfter    timer.Millis  `ini:"slow-after" default:"3s" min:"100ms" max:"10m" doc:"Time that an unfinished request has before slow-rate applies. One of which nothing comes for a second is late too."`
	SlowRate     decoder.Bytes `ini:"slow-rate" default:"1KiB" min:"1B" max:"1GiB" doc:"Bytes a second below which an unfinished request is late. It gives way when max-held or a number of connections is used up, and stays otherwise."`
	MaxConns     int           `ini:"max-connections" default:"1000" min:"8" max:"100000" doc:"Most connections of callers, or of operators and backend servers, that are open at once, and at most half of the process's descriptors (a quarter for the operators of an instance with all roles). When there are too many, one whose request is late gives way to a new one, then one that is idle for a second; a request that is being served does not. Readiness and metrics have 64 connections each, at most a sixteenth of the descriptors; tunnels 512, at most an eighth."`
	MaxLinks     int           `ini:"max-links" default:"1000" min:"8" max:"100000" doc:"Most connections at the address for links that are open at once, and at most a quarter of the process's descriptors (an eighth at an instance with all roles)."`
	BodyWait     timer.Millis  `ini:"body-wait" default:"10s" min:"100ms" max:"10m" doc:"Longest time without a byte of a request body."`
	HeaderWait   timer.Millis  `ini:"header-wait" default:"10s" min:"100ms" max:"5m" doc:"Longest time for a caller to send its request header."`
	EngineStall  timer.Millis  `ini:"engine-stall" default:"20s" min:"100ms" max:"10m" doc:"Silence of a backend server within an answer after which the request goes to another one, once one has room."`
	RetryShare   decoder.Share `ini:"retry-share" default:"20%" doc:"Most retries, as a share of first attempts."`
	MaxAttempts  int           `ini:"max-attempts" default:"4" min:"1" max:"16" doc:"Most attempts for one request."`
	MaxExplained int           `ini:"max-explained" default:"10000" min:"0" max:"1000000" doc:"Most requests whose decisions are kept for explain."`
}

// Answers bounds what a backend server's answer may make an entry instance read and hold.
type Answers struct {
	MaxHead     decoder.Bytes `ini:"max-head" default:"64KiB" min:"4KiB" max:"1MiB" doc:"Most bytes before the body of an answer, with informational answers and the heads of answers that are skipped."`
	HeadTimeout timer.Millis  `ini:"head-timeout" default:"3s" min:"100ms" max:"1m" doc:"Longest time from the first byte of a head to its end."`
	MaxSkipped  decoder.Bytes `ini:"max-skipped" default:"1MiB" min:"1KiB" max:"64MiB" doc:"Most bytes of an answer to another request, or of a refusal, that are read to keep the connection."`
	MaxBuffered decoder.Bytes `ini:"max-buffered" default:"16MiB" min:"1MiB" max:"16GiB" doc:"Most bytes that all answers in progress hold together; an answer that needs more is broken off."`
	MinRate     decoder.Bytes `ini:"min-rate" default:"16KiB" min:"1B" max:"1GiB" doc:"Bytes a second below which an answer that is not streamed counts as stalled, and is asked for elsewhere if it may."`
	Grace       timer.Millis  `ini:"grace" default:"2s" min:"100ms" max:"1m" doc:"Time before min-rate applies."`
}

// Retries configures the retry budget of entry instances.
type Retries struct {
	Share  decoder.Share `ini:"share" default:"20%" doc:"Repeats to a service as a share of its first attempts in the same window."`
	Slack  int           `ini:"slack" default:"2" min:"0" max:"1000" doc:"Repeats to a service at each instance beyond the share, in any window."`
	Window timer.Millis  `ini:"window" default:"10s" min:"1s" doc:"Window in which first attempts and repeats are counted."`
}

// Cascade configures when an entry instance escalates a request to a larger model.
type Cascade struct {
	Confidence decoder.Share `ini:"confidence" default:"50%" doc:"Least confidence of a smaller model whose answer is taken."`
	Lift       decoder.Share `ini:"lift" default:"14%" doc:"How much more confident the next larger model is; one that would still doubt is passed over for the largest."`
}

// Servers holds the timeouts after which an announced backend server counts as lost.
type Servers struct {
	Silence timer.Millis `ini:"silence" default:"2500ms" min:"100ms" max:"1m" doc:"Silence after which a backend server receives no new work."`
	Forget  timer.Millis `ini:"forget" default:"10m" min:"1s" doc:"Silence after which a backend server is forgotten."`
}

// Stop configures the graceful shutdown.
type Stop struct {
	ReadinessWait timer.Millis `ini:"readiness-wait" default:"2s" max:"5m" doc:"Time between failing readiness and refusing connections, for the balancer to notice."`
	Limit         timer.Millis `ini:"limit" default:"5m" min:"100ms" max:"1h" doc:"Longest time for requests in progress to finish."`
}

// Log configures the log level and format.
type Log struct {
	Level  string `ini:"level" default:"info" accept:"trace|debug|info|warn|error" doc:"Least severe level that is written."`
	Format string `ini:"format" default:"text" accept:"text|json" doc:"Form of each line."`
}

// Settings holds all sections of the settings file of an instance.
type Settings struct {
	Instance Instance
	Listen   Listen
	TLS      TLS
	Links    Links
	Document DocumentFile
	Peers    Peers
	Record   Record
	Data     Data
	Session  Session
	Limits   Limits
	Answers  Answers
	Retries  Retries
	Cascade  Cascade
	Servers  Servers
	Stop     Stop
	Log      Log
}

type section struct {
	name   string
	doc    string
	target any
}

// sections lists each section with its name, its description and the field that it is decoded into.
func (s *Settings) sections() []section {
	return []section{
		{"instance", "Which instance this is.", &s.Instance},
		{"listen", "Where it accepts connections.", &s.Listen},
		{"tls", "The certificate that callers see.", &s.TLS},
		{"links", "How instances prove to each other who they are.", &s.Links},
		{"document", "The environment document.", &s.Document},
		{"peers", "The other instances.", &s.Peers},
		{"record", "The replicated record.", &s.Record},
		{"data", "What must outlast the process.", &s.Data},
		{"session", "How sessions keep their version.", &s.Session},
		{"limits", "What callers can make the instance hold.", &s.Limits},
		{"answers", "What backend servers can make an entry instance read and hold.", &s.Answers},
		{"retries", "What entry instances may send again.", &s.Retries},
		{"cascade", "When entry instances ask a larger model.", &s.Cascade},
		{"servers", "When a backend server counts as gone.", &s.Servers},
		{"stop", "How a planned stop proceeds.", &s.Stop},
		{"log", "What is logged.", &s.Log},
	}
}
