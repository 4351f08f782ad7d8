// Package conf reads, merges and checks the settings.
//
// The stages are separate and each works on plain data:
//
//   - Parse turns a YAML file into a Tree, whose every value knows its
//     file, line and column.
//   - Merge lays a site's overlay over a base Tree. The overlay names each
//     value it changes; list elements are found by their Name.
//   - Decode fills a typed struct from a Tree and records unknown fields,
//     wrong types and wrong units.
//   - Check judges a decoded Config as a whole.
//
// Every stage reports all its errors, sorted by position, and none stops at
// the first. A path such as Pools[layout].Upstreams[l1].Slots names a value.
package conf
