/**
 * AJP/1.3 both ways, without I/O: bytes in any split become whole messages, bounded before anything
 * is kept.
 */
package lupinwood.ajp;
