// Package rowformat names the attributes of a row in the table service and the expressions used on them. It is shared by
// the client and by the server that emulates the service in tests.
package rowformat

// Attributes of a row.
const (
	// Partition is the partition key, a string.
	Partition = "p"
	// Sort is the sort key, a string that starts with SortPrefix.
	Sort = "s"
	// Data is the opaque data of the item, binary.
	Data = "d"
	// Expires is the time of expiry in Unix seconds, a number.
	Expires = "ttl"
	// NumberPrefix is prepended to the name of each number of the item. Numbers are attributes of their own, so that
	// conditions can refer to them.
	NumberPrefix = "n_"
	// SortPrefix is prepended to every sort key, because the service rejects empty key strings.
	SortPrefix = "/"
)

// Expressions. A condition on numbers is a list of terms "#name = :value" joined by And.
const (
	Absent         = "attribute_not_exists(#p)"
	Always         = "attribute_exists(#p) OR attribute_not_exists(#p)"
	And            = " AND "
	Equal          = " = "
	PartitionRange = "#p = :p AND #s >= :s"
)
