package configurer

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Load reads and checks a settings file; the error has type decoder.Problems when the file is readable but invalid.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, string(text))
}

// Parse decodes and checks the text of a settings file; relative file names in it start from the folder of path.
func Parse(path, text string) (Settings, error) {
	src, err := decoder.Load(path, text)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	c := checker{src: src, settings: &s, folder: filepath.Dir(path)}
	if err := c.check().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

type checker struct {
	src      *decoder.Source
	settings *Settings
	folder   string
	problems decoder.Problems
}

func (c *checker) check() decoder.Problems {
	isKnown := map[string]bool{}
	var names []string
	for _, sec := range c.settings.sections() {
		isKnown[sec.name] = true
		names = append(names, sec.name)
		c.problems = append(c.problems, c.src.Decode(sec.name, sec.target)...)
	}
	for _, name := range c.src.Sections() {
		if !isKnown[name] {
			c.addProblem(name, "", "unknown section", strings.Join(names, ", "))
		}
	}
	c.checkFiles()
	c.checkCombinations()
	return c.problems
}

func (c *checker) addProblem(section, key, reason, accepted string) {
	c.problems = append(c.problems, c.src.NewProblem(section, key, reason, accepted))
}

func (c *checker) checkFiles() {
	s := c.settings
	c.checkFile("document", "file", &s.Document.File)
	c.checkFile("tls", "certificate", &s.TLS.Certificate)
	c.checkFile("tls", "key", &s.TLS.Key)
	c.checkFile("session", "secret-file", &s.Session.SecretFile)
	c.checkFile("links", "certificate", &s.Links.Certificate)
	c.checkFile("links", "key", &s.Links.Key)
	c.checkFile("links", "authority", &s.Links.Authority)
	if s.Data.Folder == "" {
		return
	}
	s.Data.Folder = c.absolutePath(s.Data.Folder)
	if err := checkWritable(s.Data.Folder); err != nil {
		c.addProblem("data", "folder", "unreachable folder: "+err.Error(), "a folder that this process can write to")
	}
}

func (c *checker) checkFile(section, key string, path *string) {
	if *path == "" {
		return
	}
	*path = c.absolutePath(*path)
	f, err := os.Open(*path)
	if err != nil {
		c.addProblem(section, key, "unreachable file: "+err.Error(), "a file that this process can read")
		return
	}
	if err := f.Close(); err != nil {
		c.addProblem(section, key, err.Error(), "a file that this process can read")
	}
}

func (c *checker) absolutePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.folder, path)
}

func (c *checker) checkCombinations() {
	s := c.settings
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.addProblem("tls", "", "certificate and key go together", "both or neither")
	}
	c.checkLinks()
	for _, entry := range s.Instance.Regions {
		if dataCentre, region, found := strings.Cut(entry, ":"); !found || dataCentre == "" || region == "" {
			c.addProblem("instance", "regions", strconv.Quote(entry)+" names no region", "DATA-CENTRE:REGION, separated by commas")
		}
	}
	if s.Listen.Callers != "" && s.Listen.Callers == s.Listen.Control && !strings.HasSuffix(string(s.Listen.Callers), ":0") {
		c.addProblem("listen", "control", "the address is the callers' address", "an address of its own")
	}
	c.checkRequiredByRole()
	if s.Document.File == "" && len(s.Peers.Seeds) == 0 {
		c.addProblem("document", "file", "an instance without seeds needs a document", "a file, or seeds in [peers]")
	}
	if s.Servers.Forget <= s.Servers.Silence {
		c.addProblem("servers", "forget", "it is not longer than silence", "a span above silence")
	}
}

// checkRequiredByRole reports the addresses and the data folder that the role requires but that are not set.
func (c *checker) checkRequiredByRole() {
	l := c.settings.Listen
	role := c.settings.Instance.Role
	isSet := map[string]bool{"callers": l.Callers != "", "control": l.Control != "", "links": l.Links != "", "ready": l.Ready != ""}
	requiredAddresses := map[Role][]string{RoleWhole: {"callers", "control"}, RoleEntry: {"callers", "ready", "links"}, RoleControl: {"control", "links"}}
	for _, key := range requiredAddresses[role] {
		if !isSet[key] {
			c.addProblem("listen", key, "the role "+string(role)+" needs it", "an IP literal with a port")
		}
	}
	if role == RoleControl && c.settings.Data.Folder == "" {
		c.addProblem("data", "folder", "a control instance needs it", "a folder that this process can write to")
	}
}

func (c *checker) checkLinks() {
	l := c.settings.Links
	filesSet := 0
	for _, file := range []string{l.Certificate, l.Key, l.Authority} {
		if file != "" {
			filesSet++
		}
	}
	if filesSet != 0 && filesSet != 3 {
		c.addProblem("links", "", "certificate, key and authority go together", "all three or none")
	}
	if filesSet == 3 && c.settings.Listen.Links == "" {
		c.addProblem("listen", "links", "links with certificates need an address of their own", "an IP literal with a port")
	}
}

// checkWritable creates a temporary file in the folder and removes it.
func checkWritable(folder string) error {
	f, err := os.CreateTemp(folder, ".writable-")
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Remove(f.Name())
}
