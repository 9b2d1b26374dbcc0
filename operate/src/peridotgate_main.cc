// The program that runs entries and the operators' command line.
#include "operate/verb.h"

int main(int argc, char** argv) {
  return peridotgate::operate::RunCommandLine(argc, argv);
}
