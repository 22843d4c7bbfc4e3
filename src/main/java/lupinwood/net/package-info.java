/** The sockets: Apache MINA carries the bytes, parsers of the project's own read them, adapters tell the core. */
package lupinwood.net;
