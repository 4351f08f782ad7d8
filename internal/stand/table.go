package stand

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/dynamo"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
)

const (
	targetHeader    = "X-Amz-Target"
	targetPrefix    = "DynamoDB_20120810."
	conditionFailed = "ConditionalCheckFailed"
	errorPrefix     = "com.amazonaws.dynamodb.v20120810#"
)

// Table is a stand-in for the table service with the DynamoDB API, as far as package dynamo uses it.
type Table struct {
	rows   *memtab.Table
	faults *Switch
}

// NewTable returns an empty Table.
func NewTable(swt *Switch) *Table {
	return &Table{rows: memtab.NewTable(), faults: swt}
}

// Handler serves the API.
func (tab *Table) Handler() http.Handler {
	return tab.faults.Wrap(http.HandlerFunc(tab.serve))
}

// attribute is a DynamoDB attribute value of the types that a row uses.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B []byte  `json:",omitempty"`
}

type item map[string]attribute

type putInput struct {
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type transactInput struct {
	TransactItems []struct{ Put putInput }
}

func (tab *Table) serve(wri http.ResponseWriter, req *http.Request) {
	wri.Header().Set("Content-Type", "application/x-amz-json-1.0")
	dec := json.NewDecoder(req.Body)
	switch strings.TrimPrefix(req.Header.Get(targetHeader), targetPrefix) {
	case "GetItem":
		tab.get(wri, req, dec)
	case "PutItem":
		var inp putInput
		if err := dec.Decode(&inp); err != nil {
			failTable(wri, "SerializationException")
			return
		}
		tab.put(wri, req, "ConditionalCheckFailedException", inp)
	case "TransactWriteItems":
		var inp transactInput
		if err := dec.Decode(&inp); err != nil {
			failTable(wri, "SerializationException")
			return
		}
		pts := make([]putInput, 0, len(inp.TransactItems))
		for _, one := range inp.TransactItems {
			pts = append(pts, one.Put)
		}
		tab.put(wri, req, "TransactionCanceledException", pts...)
	default:
		failTable(wri, "UnknownOperationException")
	}
}

func (tab *Table) get(wri http.ResponseWriter, req *http.Request, dec *json.Decoder) {
	var inp struct{ Key item }
	if err := dec.Decode(&inp); err != nil || inp.Key[dynamo.AttributeKey].S == nil {
		failTable(wri, "ValidationException")
		return
	}
	row, err := tab.rows.Get(req.Context(), *inp.Key[dynamo.AttributeKey].S)
	if errors.Is(err, router.ErrMissing) {
		reply(wri, struct{}{})
		return
	}
	reply(wri, struct{ Item item }{toItem(row)})
}

func (tab *Table) put(wri http.ResponseWriter, req *http.Request, failure string, pts ...putInput) {
	wrs := make([]router.Write, 0, len(pts))
	for _, one := range pts {
		wrt, err := toWrite(one)
		if err != nil {
			failTable(wri, "ValidationException")
			return
		}
		wrs = append(wrs, wrt)
	}
	err := tab.rows.Put(req.Context(), wrs...)
	if tab.faults.Lose() {
		cut()
	}
	if err != nil {
		failTable(wri, failure)
		return
	}
	reply(wri, struct{}{})
}

// toWrite accepts the two condition expressions of package dynamo and no others.
func toWrite(inp putInput) (wrt router.Write, err error) {
	row := router.Row{Value: inp.Item[dynamo.AttributeValue].B}
	key, ver := inp.Item[dynamo.AttributeKey].S, inp.Item[dynamo.AttributeVersion].S
	if key == nil || ver == nil {
		return router.Write{}, errors.New("key or version is missing")
	}
	row.Key, row.Version = *key, *ver
	switch inp.ConditionExpression {
	case dynamo.IfAbsent:
		return router.Write{Row: row}, nil
	case dynamo.IfVersion:
		val := inp.ExpressionAttributeValues[":v"].S
		if val == nil {
			return router.Write{}, errors.New("expected version is missing")
		}
		return router.Write{Row: row, IfVersion: *val}, nil
	default:
		return router.Write{}, errors.Errorf("condition %q is not supported", inp.ConditionExpression)
	}
}

func toItem(row router.Row) item {
	return item{
		dynamo.AttributeKey:     {S: &row.Key},
		dynamo.AttributeVersion: {S: &row.Version},
		dynamo.AttributeValue:   {B: row.Value},
	}
}

func failTable(wri http.ResponseWriter, code string) {
	wri.WriteHeader(http.StatusBadRequest)
	reply(wri, map[string]any{
		"__type":              errorPrefix + code,
		"message":             code,
		"CancellationReasons": []map[string]string{{"Code": conditionFailed}},
	})
}

func reply(wri http.ResponseWriter, val any) {
	if err := json.NewEncoder(wri).Encode(val); err != nil {
		return
	}
}
