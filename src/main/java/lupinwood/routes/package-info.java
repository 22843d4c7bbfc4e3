/** Which request is which request. Read once from the configuration; no I/O. */
package lupinwood.routes;
