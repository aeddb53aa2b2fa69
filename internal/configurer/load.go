package configurer

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
)

// Load reads and checks a settings file; the error is of type decoder.Problems when the text is at fault.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, string(text))
}

// Parse checks the text of a settings file; file names in it are taken from the folder of path.
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
	known := map[string]bool{}
	var names []string
	for _, sec := range c.settings.sections() {
		known[sec.name] = true
		names = append(names, sec.name)
		c.problems = append(c.problems, c.src.Decode(sec.name, sec.ptr)...)
	}
	for _, name := range c.src.Sections() {
		if !known[name] {
			c.fail(name, "", "unknown section", strings.Join(names, ", "))
		}
	}
	c.checkFiles()
	c.checkTogether()
	return c.problems
}

func (c *checker) fail(section, key, reason, accepted string) {
	c.problems = append(c.problems, c.src.Problem(section, key, reason, accepted))
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
	s.Data.Folder = c.absolute(s.Data.Folder)
	if err := checkWritable(s.Data.Folder); err != nil {
		c.fail("data", "folder", "unreachable folder: "+err.Error(), "a folder that this process can write to")
	}
}

func (c *checker) checkFile(section, key string, path *string) {
	if *path == "" {
		return
	}
	*path = c.absolute(*path)
	f, err := os.Open(*path)
	if err != nil {
		c.fail(section, key, "unreachable file: "+err.Error(), "a file that this process can read")
		return
	}
	if err := f.Close(); err != nil {
		c.fail(section, key, err.Error(), "a file that this process can read")
	}
}

func (c *checker) absolute(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.folder, path)
}

func (c *checker) checkTogether() {
	s := c.settings
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.fail("tls", "", "certificate and key go together", "both or neither")
	}
	c.checkLinks()
	if s.Listen.Callers != "" && s.Listen.Callers == s.Listen.Control && !strings.HasSuffix(string(s.Listen.Callers), ":0") {
		c.fail("listen", "control", "the address is the callers' address", "an address of its own")
	}
	c.checkAddresses()
	if s.Document.File == "" && len(s.Peers.Seeds) == 0 {
		c.fail("document", "file", "an instance without seeds needs a document", "a file, or seeds in [peers]")
	}
	if s.Servers.Forget <= s.Servers.Silence {
		c.fail("servers", "forget", "it is not longer than silence", "a span above silence")
	}
}

// checkAddresses names the addresses that the role needs and lacks.
func (c *checker) checkAddresses() {
	l := c.settings.Listen
	role := c.settings.Instance.Role
	given := map[string]bool{"callers": l.Callers != "", "control": l.Control != "", "links": l.Links != "", "ready": l.Ready != ""}
	needed := map[Role][]string{RoleWhole: {"callers", "control"}, RoleEntry: {"callers", "ready", "links"}, RoleControl: {"control", "links"}}
	for _, key := range needed[role] {
		if !given[key] {
			c.fail("listen", key, "the role "+string(role)+" needs it", "an IP literal with a port")
		}
	}
	if role == RoleControl && c.settings.Data.Folder == "" {
		c.fail("data", "folder", "a control instance needs it", "a folder that this process can write to")
	}
}

func (c *checker) checkLinks() {
	l := c.settings.Links
	given := 0
	for _, file := range []string{l.Certificate, l.Key, l.Authority} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		c.fail("links", "", "certificate, key and authority go together", "all three or none")
	}
	if given == 3 && c.settings.Listen.Links == "" {
		c.fail("listen", "links", "links with certificates need an address of their own", "an IP literal with a port")
	}
}

// checkWritable makes a file in the folder and removes it again.
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
