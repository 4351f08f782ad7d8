// Package conf loads and validates the YAML settings: the configuration of the cluster and the
// settings of single nodes.
//
// The configuration (Config) holds what the operators of a cluster decide: classes (service levels
// of requests), pools (sets of upstreams that serve the same requests), workspaces (tenants with
// their keys and limits) and policies. It is written as a Document, a base file and at most one
// overlay for each site. A site is a failure domain that the base lists; its nodes use the base
// with the site's overlay applied. The settings of a node (Node) are one file for each process,
// with its addresses, its certificate and the services that it depends on.
//
// The stages of loading are separate, and each works on plain data:
//
//   - Parse turns a YAML file into a Tree, which keeps the file, line and column of every value.
//   - Merge applies an overlay to the Tree of the base. An overlay can only replace values that
//     the base sets, and has to change them. List elements with fields are matched by their Name;
//     a list of scalars is replaced as a whole.
//   - Decode fills a struct from a Tree by reflection. The names of the struct's exported fields
//     are the YAML keys, and a value that the settings leave out keeps its default. Unknown keys
//     and values of the wrong type are errors.
//   - Check and CheckNode validate a decoded struct.
//
// A stage does not stop at its first error, except at invalid YAML syntax: it returns all of them
// as Errors, sorted by position. A path, such as Pools[chat].Upstreams[c1].Slots, identifies a
// value in errors and in the list of effective settings.
package conf
