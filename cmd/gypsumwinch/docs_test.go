package main

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/jobspec"
)

// yamlBlock matches the first YAML block of a page.
var yamlBlock = regexp.MustCompile("(?s)```yaml\n(.*?)```")

// Guards against example files in docs/ that the tool rejects, after a change of
// the file format or of the page.
func TestDocumentedFiles(t *testing.T) {
	is := is.New(t)
	example := func(page string) []byte {
		data, err := os.ReadFile("../../docs/" + page)
		is.NoErr(err)
		block := yamlBlock.FindSubmatch(data)
		is.True(block != nil) // the page has an example file
		return block[1]
	}
	_, err := clusterconfig.Parse("configuration.md", example("configuration.md"))
	is.NoErr(err)
	_, err = jobspec.ParseFile("cli.md", example("cli.md"))
	is.NoErr(err)
}
