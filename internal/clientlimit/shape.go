package clientlimit

// MaxDepth is the deepest nesting of a document that Measure describes. A job has a depth of
// 4: the job, its list of steps, a step, its list of dependencies.
const MaxDepth = 64

// Shape describes a JSON document by what its decoding costs.
type Shape struct {
	// Bytes is the length of the document.
	Bytes int64
	// Depth is the deepest nesting, or MaxDepth+1 if it is above MaxDepth; the document is
	// then not described any further.
	Depth int
	// Fields is the number of members of all objects.
	Fields int
	// Elements is the number of elements of all lists. An empty list counts as one.
	Elements int
	// LongestList is the number of elements of the longest list in the outermost object.
	LongestList int
}

const (
	// copies is how often the bytes of a body are held until its request is answered: the
	// body, the texts decoded from it, the record, and the batch that carries the record.
	copies = 4
	// stepBytes is what a step takes decoded, in both forms, while its list grows.
	stepBytes = 1 << 10
	// elementBytes is what a number in a list takes while the list grows.
	elementBytes = 32
)

// Cost returns the bytes that the document takes until its request is answered.
func (s Shape) Cost() int64 {
	return copies*s.Bytes + stepBytes*int64(s.LongestList) + elementBytes*int64(s.Elements)
}

// Measure describes a JSON document without decoding it and without memory of its own. What
// it returns for a document that is not valid is of no use; its decoder refuses it before it
// allocates.
func Measure(document []byte) Shape {
	s := Shape{Bytes: int64(len(document))}
	m := measurement{shape: &s}
	for i := 0; i < len(document) && s.Depth <= MaxDepth; i++ {
		switch document[i] {
		case '"':
			i += textLength(document[i+1:]) + 1
		case '{':
			m.open(false)
		case '[':
			m.open(true)
		case '}', ']':
			m.depth = max(m.depth-1, 0)
		case ':':
			s.Fields++
		case ',':
			m.next()
		}
	}
	return s
}

// textLength returns the number of bytes before the quotation mark that ends a text. Texts
// of submissions are short, for which a loop is faster than a search.
func textLength(rest []byte) int {
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '"':
			return i
		case '\\':
			i++
		}
	}
	return len(rest)
}

// measurement is the position in a document.
type measurement struct {
	shape *Shape
	depth int
	// lists has a bit for each depth at which a list is open.
	lists uint64
	// length is the number of elements of the open list at depth 2.
	length int
}

// open enters an object or a list.
func (m *measurement) open(isList bool) {
	m.depth++
	m.shape.Depth = max(m.shape.Depth, m.depth)
	if m.depth > MaxDepth {
		return
	}
	bit := uint64(1) << (m.depth - 1)
	m.lists &^= bit
	if !isList {
		return
	}
	m.lists |= bit
	if m.depth == 2 {
		m.length = 0
	}
	m.count()
}

// next passes a comma.
func (m *measurement) next() {
	if m.depth > 0 && m.lists&(1<<(m.depth-1)) != 0 {
		m.count()
	}
}

// count counts an element of the open list.
func (m *measurement) count() {
	m.shape.Elements++
	if m.depth == 2 {
		m.length++
		m.shape.LongestList = max(m.shape.LongestList, m.length)
	}
}
