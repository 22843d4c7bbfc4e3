/**
 * What a node can be told, entry by entry: names, kinds, bounds, and what must hold across entries.
 * Whatever language a configuration came in, it is judged here. No I/O.
 */
package lupinwood.settings;
