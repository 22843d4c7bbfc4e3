/**
 * The project's laboratory: stand-ins for all that a node talks to, on loopback, and runs that end
 * in one line of counts. Nothing here is loaded by a node that serves.
 */
package lupinwood.experiment;
