package dynamo

import (
	"context"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// The attribute names and condition expressions that the package uses.
const (
	AttributeKey     = "Key"
	AttributeVersion = "Version"
	AttributeValue   = "Value"
	AttributeExpires = "Expires"
	IfAbsent         = "attribute_not_exists(#k)"
	IfVersion        = "#v = :v"
)

// Table is a router.Table in a DynamoDB table.
type Table struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
}

// New returns a Table; credentials come from the given provider.
func New(set conf.Table, crd aws.CredentialsProvider) *Table {
	opt := dynamodb.Options{
		Region:       set.Region,
		BaseEndpoint: aws.String(set.Endpoint),
		Credentials:  crd,
		// A lost answer must be seen by the caller, who reads back what took effect.
		Retryer: aws.NopRetryer{},
	}
	return &Table{client: dynamodb.New(opt), name: set.Name, timeout: set.Timeout}
}

// Get returns the row by a consistent read, router.ErrMissing or router.ErrUnavailable.
func (tab *Table) Get(ctx context.Context, key string) (row router.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, tab.timeout)
	defer cancel()
	out, err := tab.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &tab.name,
		ConsistentRead: aws.Bool(true),
		Key:            map[string]types.AttributeValue{AttributeKey: text(key)},
	})
	if err != nil {
		return router.Row{}, translate(err)
	}
	if len(out.Item) == 0 {
		return router.Row{}, router.ErrMissing
	}
	return FromItem(out.Item), nil
}

// Put applies all writes in one transaction, or returns router.ErrCondition or router.ErrUnavailable.
func (tab *Table) Put(ctx context.Context, wrs ...router.Write) (err error) {
	ctx, cancel := context.WithTimeout(ctx, tab.timeout)
	defer cancel()
	if len(wrs) == 1 {
		_, err = tab.client.PutItem(ctx, tab.single(wrs[0]))
		return translate(err)
	}
	inp := &dynamodb.TransactWriteItemsInput{}
	for _, wrt := range wrs {
		one := tab.single(wrt)
		inp.TransactItems = append(inp.TransactItems, types.TransactWriteItem{Put: &types.Put{
			TableName:                 one.TableName,
			Item:                      one.Item,
			ConditionExpression:       one.ConditionExpression,
			ExpressionAttributeNames:  one.ExpressionAttributeNames,
			ExpressionAttributeValues: one.ExpressionAttributeValues,
		}})
	}
	_, err = tab.client.TransactWriteItems(ctx, inp)
	return translate(err)
}

func (tab *Table) single(wrt router.Write) *dynamodb.PutItemInput {
	inp := &dynamodb.PutItemInput{TableName: &tab.name, Item: ToItem(wrt.Row)}
	if wrt.IfVersion == "" {
		inp.ConditionExpression = aws.String(IfAbsent)
		inp.ExpressionAttributeNames = map[string]string{"#k": AttributeKey}
		return inp
	}
	inp.ConditionExpression = aws.String(IfVersion)
	inp.ExpressionAttributeNames = map[string]string{"#v": AttributeVersion}
	inp.ExpressionAttributeValues = map[string]types.AttributeValue{":v": text(wrt.IfVersion)}
	return inp
}

// ToItem returns a row as DynamoDB attributes.
func ToItem(row router.Row) map[string]types.AttributeValue {
	itm := map[string]types.AttributeValue{
		AttributeKey:     text(row.Key),
		AttributeVersion: text(row.Version),
		AttributeValue:   &types.AttributeValueMemberB{Value: row.Value},
	}
	if !row.Expires.IsZero() {
		itm[AttributeExpires] = &types.AttributeValueMemberN{Value: strconv.FormatInt(row.Expires.Unix(), 10)}
	}
	return itm
}

// FromItem returns DynamoDB attributes as a row.
func FromItem(itm map[string]types.AttributeValue) (row router.Row) {
	if key, fnd := itm[AttributeKey].(*types.AttributeValueMemberS); fnd {
		row.Key = key.Value
	}
	if ver, fnd := itm[AttributeVersion].(*types.AttributeValueMemberS); fnd {
		row.Version = ver.Value
	}
	if val, fnd := itm[AttributeValue].(*types.AttributeValueMemberB); fnd {
		row.Value = val.Value
	}
	if exp, fnd := itm[AttributeExpires].(*types.AttributeValueMemberN); fnd {
		if sec, err := strconv.ParseInt(exp.Value, 10, 64); err == nil {
			row.Expires = time.Unix(sec, 0)
		}
	}
	return row
}

func text(val string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: val}
}

// translate maps the SDK's errors to those of router.Table.
func translate(err error) error {
	if err == nil {
		return nil
	}
	var cnd *types.ConditionalCheckFailedException
	if errors.As(err, &cnd) {
		return router.ErrCondition
	}
	var txn *types.TransactionCanceledException
	if errors.As(err, &txn) && conditional(txn) {
		return router.ErrCondition
	}
	return errors.Join(router.ErrUnavailable, err)
}

// conditional reports whether a condition is among the reasons of a cancelled transaction.
func conditional(txn *types.TransactionCanceledException) bool {
	for _, rsn := range txn.CancellationReasons {
		if aws.ToString(rsn.Code) == "ConditionalCheckFailed" {
			return true
		}
	}
	return false
}
