/** The command line: subcommands and their usage. */
package lupinwood.cli;
