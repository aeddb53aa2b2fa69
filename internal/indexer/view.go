package indexer

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// View is an immutable snapshot of an environment's document and backend servers; a request uses one View throughout.
// BuiltAt is when the View was built and ModeSince is when Mode began, both in milliseconds.
type View struct {
	Environment string
	Revision    int64
	Document    *parser.Document
	Servers     []registrar.BackendServer
	BuiltAt     timer.Millis
	Mode        Mode
	ModeSince   timer.Millis

	workspaceByKeyDigest map[decoder.Digest]parser.Workspace
	routesByService      map[string][]parser.Route
	serversByEngineName  map[string][]registrar.BackendServer
	serversByService     map[string][]registrar.BackendServer
	versionByName        map[string]parser.Version
	pathByRegions        map[[2]string]parser.Path
	regionByDataCentre   map[string]string
}

// NewView returns a View of a document and backend servers; now is in milliseconds.
func NewView(revision int64, doc *parser.Document, servers []registrar.BackendServer, now timer.Millis) *View {
	v := &View{
		Revision:             revision,
		Document:             doc,
		BuiltAt:              now,
		workspaceByKeyDigest: map[decoder.Digest]parser.Workspace{},
		routesByService:      map[string][]parser.Route{},
		versionByName:        map[string]parser.Version{},
		pathByRegions:        map[[2]string]parser.Path{},
		regionByDataCentre:   map[string]string{},
	}
	v.indexDocument()
	v.indexServers(servers)
	return v
}

// WithServers returns a View of the same document with the given backend servers; now is in milliseconds.
func (v *View) WithServers(servers []registrar.BackendServer, now timer.Millis) *View {
	next := *v
	next.BuiltAt = now
	next.indexServers(servers)
	return &next
}

func (v *View) indexDocument() {
	for _, w := range v.Document.Workspaces {
		for _, digest := range w.KeyDigests {
			v.workspaceByKeyDigest[digest] = w
		}
	}
	for _, r := range v.Document.Routes {
		v.routesByService[r.Service] = append(v.routesByService[r.Service], r)
	}
	for _, routes := range v.routesByService {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Path) > len(routes[j].Path) })
	}
	for _, version := range v.Document.Versions {
		v.versionByName[version.Name] = version
	}
	for _, dc := range v.Document.DataCentres {
		v.regionByDataCentre[dc.Name] = dc.Region
	}
	for _, p := range v.Document.Paths {
		v.pathByRegions[[2]string{p.From, p.To}] = p
		v.pathByRegions[[2]string{p.To, p.From}] = p
	}
}

func (v *View) indexServers(servers []registrar.BackendServer) {
	v.Servers = servers
	v.serversByEngineName = map[string][]registrar.BackendServer{}
	v.serversByService = map[string][]registrar.BackendServer{}
	for _, server := range servers {
		if server.State != registrar.StateServing {
			continue
		}
		if server.Kind == registrar.KindService {
			v.serversByService[server.Service] = append(v.serversByService[server.Service], server)
			continue
		}
		for _, name := range server.EngineNames {
			v.serversByEngineName[name] = append(v.serversByEngineName[name], server)
		}
	}
}

// Workspace returns the workspace of an API key, or false when no workspace of the environment has the key.
func (v *View) Workspace(key string) (parser.Workspace, bool) {
	sum := sha256.Sum256([]byte(key))
	w, ok := v.workspaceByKeyDigest[decoder.Digest(hex.EncodeToString(sum[:]))]
	return w, ok
}

// Version returns the named version, or false when the document has none of that name.
func (v *View) Version(name string) (parser.Version, bool) {
	version, ok := v.versionByName[name]
	return version, ok
}

// Route returns the route of a service with the given method and the longest path that is a prefix of the given path,
// or false when there is none.
func (v *View) Route(service, method, path string) (parser.Route, bool) {
	for _, r := range v.routesByService[service] {
		if r.Method == method && hasPathPrefix(r.Path, path) {
			return r, true
		}
	}
	return parser.Route{}, false
}

// hasPathPrefix reports whether prefix matches whole segments at the start of path.
func hasPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// EngineServers returns the serving engines that have the version loaded.
func (v *View) EngineServers(version parser.Version) []registrar.BackendServer {
	return v.serversByEngineName[version.EngineName]
}

// ServiceServers returns the serving backend servers that run the named service.
func (v *View) ServiceServers(service string) []registrar.BackendServer {
	return v.serversByService[service]
}

// Path returns the network path between the regions of two data centres, or the zero Path when they share a region.
func (v *View) Path(from, to string) parser.Path {
	return v.pathByRegions[[2]string{v.regionByDataCentre[from], v.regionByDataCentre[to]}]
}
