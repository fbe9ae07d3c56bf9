package proxyconfig

// Place is a place in the document of a configuration. Line and Column count from 1,
// Column in characters; both are 0 if the place is not known.
type Place struct {
	// Path leads to the field in the document's own names.
	Path   string `json:"path"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// Field is a field of an element of a configuration, whatever the document calls it.
type Field string

// The fields that have places.
const (
	FieldVersion     Field = "version"
	FieldRoutes      Field = "routes"
	FieldCustomers   Field = "customers"
	FieldHeader      Field = "header"
	FieldBody        Field = "body"
	FieldIdle        Field = "idle"
	FieldPrefix      Field = "prefix"
	FieldTimeout     Field = "timeout"
	FieldObjective   Field = "objective"
	FieldMaxAttempts Field = "attempts"
	FieldMaxConns    Field = "connections"
	FieldCallTime    Field = "call"
	FieldItemTime    Field = "item"
	FieldRoom        Field = "room"
	FieldPool        Field = "pool"
	FieldWeight      Field = "weight"
	FieldBytes       Field = "bytes"
)

// Element is an element of a document with its fields.
type Element struct {
	Place  Place
	Fields map[Field]Place
}

// At returns the place of a field, or that of the element if the document omits the
// field.
func (e Element) At(field Field) Place {
	if p, ok := e.Fields[field]; ok {
		return p
	}
	return e.Place
}

// SourceRoute is a route with its places. Targets and Stages correspond to Route.Pools
// and Route.Stages.
type SourceRoute struct {
	Element
	Route   *Route
	Targets []Element
	Stages  []Element
}

// SourcePool is a pool with its places.
type SourcePool struct {
	Element
	Pool *Pool
}

// SourceKey is a customer's key. It may be empty.
type SourceKey struct {
	Key   string
	Place Place
}

// SourceCustomer is a customer with its keys.
type SourceCustomer struct {
	Element
	Customer Customer
	Keys     []SourceKey
}

// Defect is a fault of a document that a Config does not show.
type Defect struct {
	Place Place
	Text  string
}

// Source is the document of a configuration: its elements in their order, with all
// duplicates, and their places.
type Source struct {
	Element
	// Config is what gateways use. It is nil if there are Errors.
	Config *Config
	// Errors are the faults for which gateways ignore the version.
	Errors []Defect
	// Unknown are the fields that gateways do not know, and Repeated those that stand more
	// than once in an object.
	Unknown  []Defect
	Repeated []Defect

	Routes    []SourceRoute
	Pools     []SourcePool
	Customers []SourceCustomer
}
