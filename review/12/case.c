/* Plays this case: runs the stage (review/stand-ins-3) with its name. Usage: case PROGRAM DIRECTORY
 * RECORD. Needs nothing else, since review/build.sh compiles the case.c of every folder, too. */
#include <unistd.h>

int main(int argc, char **argv) {
    if (argc != 4)
        return 2;
    execl("target/review-3/stage", "stage", "slow-images", argv[1], argv[2], argv[3], (char *)NULL);
    return 2;
}
