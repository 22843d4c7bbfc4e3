/**
 * The sockets: Apache MINA carries bytes, parsers of the project's own read them, adapters tell the
 * core.
 */
package lupinwood.net;
