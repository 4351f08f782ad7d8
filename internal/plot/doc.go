// Package plot draws bar charts as SVG for pages that need no other file.
package plot
