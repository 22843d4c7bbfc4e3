/** Which HTTP request belongs to which request class. Read once from the configuration; no I/O. */
package lupinwood.routes;
