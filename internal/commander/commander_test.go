package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/assembler"
)

const exampleDocument = "../../examples/tazy-fit.ini"

// runCommand runs the program and returns its exit code and what it wrote to standard output and standard error.
func runCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = NewCommander(strings.NewReader(""), &stdout, &stderr).Run(args)
	return code, stdout.String(), stderr.String()
}

func newFleet(t *testing.T) *assembler.Fleet {
	t.Helper()
	text, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	f, err := assembler.NewFleet(assembler.Config{
		Folder: t.TempDir(), Document: string(text), DataCentres: []string{"almaty-a", "astana-a", "shymkent-a"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func TestExitCodesAndMessages(t *testing.T) {
	f := newFleet(t)
	at := f.ControlAddresses()[1]
	faulty := filepath.Join(t.TempDir(), "faulty.ini")
	if err := os.WriteFile(faulty, []byte("[environment]\nname = x\n[model m]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"version":                          {[]string{"version"}, ExitOK, "eelgrasshook " + Version},
		"help":                             {[]string{"--help"}, ExitOK, "Exit codes"},
		"unknown command":                  {[]string{"dance"}, ExitBadInput, "dance"},
		"unknown flag":                     {[]string{"status", "--where", "x"}, ExitBadInput, "where"},
		"valid document":                   {[]string{"check", "document", exampleDocument}, ExitOK, "sound: 1 models"},
		"faulty document":                  {[]string{"check", "document", faulty}, ExitBadInput, "faulty.ini:3: [model m] cascade: the key is missing"},
		"missing document":                 {[]string{"check", "document", "nowhere.ini"}, ExitBadInput, "nowhere.ini"},
		"missing settings file":            {[]string{"serve", "--settings", "nowhere.ini"}, ExitBadInput, "nowhere.ini"},
		"unreachable instance":             {[]string{"status", "--at", "127.0.0.1:1"}, ExitUnreachable, "cannot be reached"},
		"status":                           {[]string{"status", "--at", at}, ExitOK, "environment production at revision 1"},
		"status as JSON":                   {[]string{"status", "--at", at, "--output", "json"}, ExitOK, `"mode": "connected"`},
		"audit":                            {[]string{"audit", "--verify", "--at", at}, ExitOK, "fleet changed production from revision 0 to 1"},
		"bills":                            {[]string{"bills", "--verify", "--at", at}, ExitOK, "WORKSPACE"},
		"explain unknown request":          {[]string{"explain", "ghost", "--at", at}, ExitBadInput, "no given instance remembers"},
		"explain without arguments":        {[]string{"explain", "--at", at}, ExitBadInput, "either a request id or --change"},
		"explain a change":                 {[]string{"explain", "--change", "first-document", "--at", at}, ExitOK, "from revision 0 to 1, change first-document"},
		"explain unknown change":           {[]string{"explain", "--change", "ghost", "--at", at}, ExitBadInput, "does not know change ghost"},
		"drain unknown server":             {[]string{"drain", "ghost", "--at", at}, ExitFailed, "no backend server has the name ghost"},
		"apply with an outdated base":      {[]string{"apply", exampleDocument, "--base", "0", "--author", "a", "--at", at}, ExitConflict, "at revision 1, not at base revision 0"},
		"apply faulty document":            {[]string{"apply", faulty, "--author", "a", "--at", at}, ExitBadInput, "cascade"},
		"promote without a trial document": {[]string{"promote", "--trial", "1", "--author", "a", "--at", at}, ExitFailed, "is not remembered"},
		"rollback to unknown revision":     {[]string{"rollback", "--revision", "9", "--author", "a", "--at", at}, ExitFailed, "is not remembered"},
		"second bootstrap":                 {[]string{"bootstrap", "--at", at}, ExitConflict, "record"},
		"replay missing file":              {[]string{"replay", "run", "nowhere.jsonl"}, ExitBadInput, "nowhere.jsonl"},
		"replay with unknown policy":       {[]string{"replay", "run", exampleDocument, "--policy", "luck"}, ExitBadInput, "luck"},
		"replay file that is not a trace":  {[]string{"replay", "run", exampleDocument}, ExitBadInput, "line 1"},
		"reference page of settings":       {[]string{"check", "settings", "--describe"}, ExitOK, "## [instance]"},
		"canonical form":                   {[]string{"check", "document", exampleDocument, "--print"}, ExitOK, "[environment]\nname = production"},
		"no differences from itself":       {[]string{"check", "document", exampleDocument, "--against", exampleDocument}, ExitOK, ""},
		"audit of unknown change":          {[]string{"audit", "--change", "ghost", "--at", at}, ExitOK, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := runCommand(tt.args...)
			if code != tt.code || !strings.Contains(out+errOut, tt.want) {
				t.Errorf("exit code %d, want %d; printed %s%s", code, tt.code, out, errOut)
			}
		})
	}
}

func TestPromoteAndRollback(t *testing.T) {
	f := newFleet(t)
	at := f.ControlAddresses()[2]
	text, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	trial := strings.Replace(string(text), "name = production", "name = trial", 1)
	trial = strings.Replace(trial, "output-price = 0.6", "output-price = 0.5", 1)
	// A trial environment needs its own key digests; these are production's with 00 put in front.
	trial = strings.ReplaceAll(trial, "key-digests = ", "key-digests = 00")
	lines := strings.Split(trial, "\n")
	for i, l := range lines {
		if digest, ok := strings.CutPrefix(l, "key-digests = "); ok {
			lines[i] = "key-digests = " + digest[:64]
		}
	}
	path := filepath.Join(t.TempDir(), "trial.ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		args []string
		want string
	}{
		{[]string{"apply", path, "--author", "aigul", "--at", at}, "accepted as revision 1 of trial"},
		{[]string{"promote", "--trial", "1", "--preview", "--at", at}, "[version fitting-small-3] output-price: 0.6 -> 0.5"},
		{[]string{"promote", "--trial", "1", "--base", "1", "--author", "aigul", "--id", "p", "--at", at}, "accepted as revision 2 of production"},
		{[]string{"promote", "--trial", "1", "--base", "1", "--author", "aigul", "--id", "p", "--at", at}, "accepted as revision 2 of production"},
		{[]string{"rollback", "--revision", "1", "--author", "omar", "--at", at}, "accepted as revision 3 of production"},
		{[]string{"audit", "--verify", "--at", at}, "omar changed production from revision 2 to 3"},
		{[]string{"audit", "--change", "p", "--at", at}, "revision 2 of production in force in almaty-a"},
	}
	for i, s := range steps {
		var code int
		var out, errOut string
		// The audit trail may record that a revision is in force only shortly after the wait for it ends.
		err := f.WaitFor(s.want, func() bool {
			code, out, errOut = runCommand(s.args...)
			return code != ExitOK || strings.Contains(out, s.want)
		})
		if err != nil || code != ExitOK {
			t.Fatalf("step %d: exit code %d, printed %s%s, %v", i, code, out, errOut, err)
		}
	}
}

// TestCommandsInOperatorDocs parses every command in the operators' pages and runs the read-only ones
// against a fleet.
func TestCommandsInOperatorDocs(t *testing.T) {
	f := newFleet(t)
	addresses := f.ControlAddresses()
	replacer := strings.NewReplacer("127.0.0.1:8090", addresses[0], "127.0.0.1:8091", addresses[1], "127.0.0.1:8092", addresses[2], "examples/", "../../examples/")
	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil || len(pages) < 4 {
		t.Fatalf("%d pages, %v", len(pages), err)
	}
	found, executed := 0, 0
	for _, page := range pages {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(string(raw), "\n") {
			args := parseCommandLine(replacer.Replace(line))
			if args == nil {
				continue
			}
			found++
			if _, err := NewCommander(strings.NewReader(""), &bytes.Buffer{}, &bytes.Buffer{}).app.Parse(args); err != nil {
				t.Errorf("%s: %q: %v", page, line, err)
				continue
			}
			if isReadOnly(args) {
				executed++
				if code, out, errOut := runCommand(args...); code != ExitOK {
					t.Errorf("%s: %q: exit code %d: %s%s", page, line, code, out, errOut)
				}
			}
		}
	}
	if found < 15 || executed < 3 {
		t.Errorf("%d commands found, %d run", found, executed)
	}
}

// parseCommandLine returns the arguments of an indented line that calls the program, and nil for other lines.
func parseCommandLine(line string) []string {
	fields := strings.Fields(strings.TrimSuffix(line, "&"))
	if !strings.HasPrefix(line, "    ") || len(fields) < 2 {
		return nil
	}
	if fields[0] != "eelgrasshook" && fields[0] != "./eelgrasshook" {
		return nil
	}
	return fields[1:]
}

func isReadOnly(args []string) bool {
	switch args[0] {
	case "status":
		return true
	case "audit":
		return !strings.Contains(strings.Join(args, " "), "CHANGE-ID")
	case "bills":
		return true
	case "check":
		return args[1] == "document" && !strings.Contains(strings.Join(args, " "), "new.ini")
	}
	return false
}
