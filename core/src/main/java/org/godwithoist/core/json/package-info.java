/** Parsing and validation of JSON files with comments; errors carry their location. */
package org.godwithoist.core.json;
